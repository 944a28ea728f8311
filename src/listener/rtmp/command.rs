//! RTMP's commands in AMF0: a name, a transaction and values, of which information objects are read and
//! written.

use std::collections::HashMap;

use rml_amf0::Amf0Value;

/// Code of the reply that rejects a connection.
pub const REJECTED: &str = "NetConnection.Connect.Rejected";
/// Code of the reply to a connection that failed.
pub const FAILED: &str = "NetConnection.Connect.Failed";
/// Code of the status that asks a client to reconnect.
pub const RECONNECT_REQUEST: &str = "NetConnection.Connect.ReconnectRequest";

/// A command that was received.
pub struct Command {
    /// Its name.
    pub name: String,
    /// Its transaction, by which the reply is found.
    pub transaction: f64,
    /// The values that follow.
    pub values: std::vec::IntoIter<Amf0Value>,
}

impl Command {
    /// Parses a message's body; `None` where it is not a command.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let mut values = rml_amf0::deserialize(&mut &*body).ok()?.into_iter();
        let name = values.next()?.get_string()?;
        let transaction = values.next()?.get_number()?;
        Some(Command { name, transaction, values })
    }

    /// The `code` of the command's information object, where it has one.
    pub fn code(self) -> Option<String> {
        let mut objects = self.values.filter_map(Amf0Value::get_object_properties);
        objects.find_map(|mut object| object.remove("code")?.get_string())
    }
}

/// An information object.
pub fn information(level: &str, code: &str, description: &str) -> HashMap<String, Amf0Value> {
    let text = |t: &str| Amf0Value::Utf8String(t.to_owned());
    let pairs = [("level", level), ("code", code), ("description", description)];
    pairs.into_iter().map(|(name, value)| (name.to_owned(), text(value))).collect()
}

/// Encodes a command with an information object.
pub fn encode(name: &str, transaction: f64, object: HashMap<String, Amf0Value>) -> Vec<u8> {
    let values = vec![
        Amf0Value::Utf8String(name.to_owned()),
        Amf0Value::Number(transaction),
        Amf0Value::Null,
        Amf0Value::Object(object),
    ];
    // It fails on texts over 64 KiB only.
    rml_amf0::serialize(&values).unwrap_or_default()
}
