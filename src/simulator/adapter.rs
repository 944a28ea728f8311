//! The load balancers that one process hosts for the simulator, and the batches that it plays to them.

use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use serde_json::{Value, json};

use super::codec::{decode_event, encode_action};
use super::errors::{WireError, WireFault};
use super::fields::Fields;
use super::settings::{class_names, read_settings};
use crate::policy::LoadBalancer;
use crate::policy::api::{Action, Millis};

struct Instance {
    load_balancer: LoadBalancer,
    /// Names of the classes, by position.
    classes: Vec<String>,
}

/// A batch that has begun.
#[derive(Clone, Copy)]
struct Batch {
    now: Millis,
    number: u64,
}

/// All the load balancers that one process hosts; they share nothing but the stream.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<String, Instance>,
    batch: Option<Batch>,
    /// Number of the latest batch, for errors.
    latest_batch: Option<u64>,
    reply: String,
    actions: Vec<Action>,
}

impl Adapter {
    /// An adapter that hosts no instance yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one line; gives the whole reply when the line closes a batch.
    ///
    /// # Errors
    ///
    /// What is wrong with the line, and in which batch. Nothing of the line has been taken.
    pub fn line(&mut self, line: &str) -> Result<Option<String>, WireError> {
        self.read(line).map_err(|what| WireError { batch: self.latest_batch, what })
    }

    /// Checks that the input ended between batches.
    ///
    /// # Errors
    ///
    /// The input ended inside a batch.
    pub fn end(&self) -> Result<(), WireError> {
        match self.batch {
            Some(batch) => Err(WireError { batch: Some(batch.number), what: WireFault::Ended }),
            None => Ok(()),
        }
    }

    fn read(&mut self, line: &str) -> Result<Option<String>, WireFault> {
        let value: Value = serde_json::from_str(line)?;
        let values = value.as_array().ok_or(WireFault::NotMessage("be an array"))?;
        let name = values.first().and_then(Value::as_str);
        let name = name.ok_or(WireFault::NotMessage("begin with its name"))?;
        let fields = Fields { name, values: &values[1..] };
        match (name, self.batch) {
            ("ROUND", None) => self.begin_batch(&fields).map(|()| None),
            ("ROUND", Some(_)) => Err(misplaced(name, "before the last one's GO")),
            ("GO", Some(batch)) => Ok(Some(self.end_batch(batch))),
            (_, Some(batch)) => self.message(batch.now, &fields).map(|()| None),
            (_, None) => Err(misplaced(name, "outside of a round")),
        }
    }

    fn begin_batch(&mut self, fields: &Fields<'_>) -> Result<(), WireFault> {
        let now = fields.number(0)?;
        let number = fields.whole(1)?;
        self.batch = Some(Batch { now, number });
        self.latest_batch = Some(number);
        Ok(())
    }

    fn end_batch(&mut self, batch: Batch) -> String {
        self.batch = None;
        push_line(&mut self.reply, &json!(["FINISHED", batch.number]));
        std::mem::take(&mut self.reply)
    }

    fn message(&mut self, now: Millis, fields: &Fields<'_>) -> Result<(), WireFault> {
        let who = fields.text(0)?;
        if fields.name == "START" {
            return self.start(now, who, fields);
        }
        let Some(instance) = self.instances.get_mut(who) else {
            return Err(WireFault::NotStarted { name: fields.name.to_owned(), who: who.to_owned() });
        };
        if fields.name == "SHUTDOWN" {
            self.instances.remove(who);
            return Ok(());
        }
        let Some(event) = decode_event(fields, &instance.classes)? else { return Ok(()) };
        self.actions.clear();
        let handled = AssertUnwindSafe(|| instance.load_balancer.handle(now, event, &mut self.actions));
        if let Err(cause) = catch_unwind(handled) {
            push_line(&mut self.reply, &json!(["PANIC", who, panic_text(&*cause)]));
            return Ok(());
        }
        for action in self.actions.drain(..) {
            push_line(&mut self.reply, &encode_action(who, action));
        }
        Ok(())
    }

    fn start(&mut self, now: Millis, who: &str, fields: &Fields<'_>) -> Result<(), WireFault> {
        let seed = fields.whole(1)?;
        let written = fields.at(2)?;
        let settings = read_settings(written).map_err(WireFault::Settings)?;
        let classes = class_names(written);
        match catch_unwind(AssertUnwindSafe(|| LoadBalancer::new(settings, seed, now))) {
            Ok(load_balancer) => {
                self.instances.insert(who.to_owned(), Instance { load_balancer, classes });
            }
            Err(cause) => push_line(&mut self.reply, &json!(["PANIC", who, panic_text(&*cause)])),
        }
        Ok(())
    }
}

fn misplaced(name: &str, place: &'static str) -> WireFault {
    WireFault::Order { name: name.to_owned(), place }
}

fn push_line(out: &mut String, value: &Value) {
    out.push_str(&value.to_string());
    out.push('\n');
}

fn panic_text(cause: &(dyn Any + Send)) -> String {
    let text = cause.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| cause.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".into())
}
