//! The load balancers that one process hosts for the simulator, and the batches of events that they handle.

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

/// One load balancer of the simulation.
struct Instance {
    load_balancer: LoadBalancer,
    /// Names of the classes, in the order of the settings.
    classes: Vec<String>,
}

/// The batch that is being read.
#[derive(Clone, Copy)]
struct Batch {
    /// The simulation's time.
    now: Millis,
    number: u64,
}

/// All load balancers that one process hosts. They share nothing but the input and the output.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<String, Instance>,
    batch: Option<Batch>,
    /// Number of the latest batch, for error messages.
    latest_batch: Option<u64>,
    reply: String,
    actions: Vec<Action>,
}

impl Adapter {
    /// Creates an adapter that hosts no instance.
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes one line; returns the complete reply when the line closes a batch.
    ///
    /// # Errors
    ///
    /// The fault of the line and the batch that it belongs to. No part of the line has been applied.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, WireError> {
        self.read_line(line).map_err(|fault| WireError { batch: self.latest_batch, fault })
    }

    /// Checks that the input ended between batches.
    ///
    /// # Errors
    ///
    /// [`WireFault::Ended`] where the input ended inside a batch.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.batch {
            Some(batch) => Err(WireError { batch: Some(batch.number), fault: WireFault::Ended }),
            None => Ok(()),
        }
    }

    fn read_line(&mut self, line: &str) -> Result<Option<String>, WireFault> {
        let value: Value = serde_json::from_str(line)?;
        let values = value.as_array().ok_or(WireFault::NotMessage("be an array"))?;
        let name = values.first().and_then(Value::as_str);
        let name = name.ok_or(WireFault::NotMessage("begin with its name"))?;
        let fields = Fields { name, values: &values[1..] };
        match (name, self.batch) {
            ("ROUND", None) => self.begin_batch(&fields).map(|()| None),
            ("ROUND", Some(_)) => Err(misplaced(name, "before the previous round's GO")),
            ("GO", Some(batch)) => Ok(Some(self.end_batch(batch))),
            (_, Some(batch)) => self.handle_message(batch.now, &fields).map(|()| None),
            (_, None) => Err(misplaced(name, "outside of a round")),
        }
    }

    fn begin_batch(&mut self, fields: &Fields<'_>) -> Result<(), WireFault> {
        let now = fields.number(0)?;
        let number = fields.integer(1)?;
        self.batch = Some(Batch { now, number });
        self.latest_batch = Some(number);
        Ok(())
    }

    fn end_batch(&mut self, batch: Batch) -> String {
        self.batch = None;
        push_line(&mut self.reply, &json!(["FINISHED", batch.number]));
        std::mem::take(&mut self.reply)
    }

    fn handle_message(&mut self, now: Millis, fields: &Fields<'_>) -> Result<(), WireFault> {
        let who = fields.text(0)?;
        if fields.name == "START" {
            return self.start_instance(now, who, fields);
        }
        let Some(instance) = self.instances.get_mut(who) else {
            return Err(WireFault::NotStarted { name: fields.name.to_owned(), instance: who.to_owned() });
        };
        if fields.name == "SHUTDOWN" {
            self.instances.remove(who);
            return Ok(());
        }
        let Some(event) = decode_event(fields, &instance.classes)? else { return Ok(()) };
        self.actions.clear();
        let handle_event = AssertUnwindSafe(|| instance.load_balancer.handle(now, event, &mut self.actions));
        if let Err(cause) = catch_unwind(handle_event) {
            push_line(&mut self.reply, &json!(["PANIC", who, panic_message(&*cause)]));
            return Ok(());
        }
        for action in self.actions.drain(..) {
            push_line(&mut self.reply, &encode_action(who, action));
        }
        Ok(())
    }

    fn start_instance(&mut self, now: Millis, who: &str, fields: &Fields<'_>) -> Result<(), WireFault> {
        let seed = fields.integer(1)?;
        let settings_value = fields.at(2)?;
        let settings = read_settings(settings_value).map_err(WireFault::Settings)?;
        let classes = class_names(settings_value);
        match catch_unwind(AssertUnwindSafe(|| LoadBalancer::new(settings, seed, now))) {
            Ok(load_balancer) => {
                self.instances.insert(who.to_owned(), Instance { load_balancer, classes });
            }
            Err(cause) => push_line(&mut self.reply, &json!(["PANIC", who, panic_message(&*cause)])),
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

fn panic_message(cause: &(dyn Any + Send)) -> String {
    let text = cause.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| cause.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".into())
}
