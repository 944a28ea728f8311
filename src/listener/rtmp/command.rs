//! RTMP commands in AMF0: each has a name, a transaction id and values. Of the values, only information
//! objects are read and written.

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
    /// The command's name.
    pub name: String,
    /// The command's transaction id, which the reply to the command repeats.
    pub transaction: f64,
    /// The values that follow the transaction id.
    pub values: std::vec::IntoIter<Amf0Value>,
}

impl Command {
    /// Parses the body of a message; `None` where the body is not a command.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let mut values = rml_amf0::deserialize(&mut &*body).ok()?.into_iter();
        let name = values.next()?.get_string()?;
        let transaction = values.next()?.get_number()?;
        Some(Command { name, transaction, values })
    }

    /// The `code` of the command's information object; `None` where the command has none.
    pub fn code(self) -> Option<String> {
        let mut objects = self.values.filter_map(Amf0Value::get_object_properties);
        objects.find_map(|mut object| object.remove("code")?.get_string())
    }
}

/// Builds an information object.
pub fn information_object(level: &str, code: &str, description: &str) -> HashMap<String, Amf0Value> {
    let text = |t: &str| Amf0Value::Utf8String(t.to_owned());
    let properties = [("level", level), ("code", code), ("description", description)];
    properties.into_iter().map(|(name, value)| (name.to_owned(), text(value))).collect()
}

/// Encodes a command with an information object.
pub fn encode_command(name: &str, transaction: f64, object: HashMap<String, Amf0Value>) -> Vec<u8> {
    let values = vec![
        Amf0Value::Utf8String(name.to_owned()),
        Amf0Value::Number(transaction),
        Amf0Value::Null,
        Amf0Value::Object(object),
    ];
    // Serialization fails only for strings over 64 KiB.
    rml_amf0::serialize(&values).unwrap_or_default()
}
