//! Typed access to the values of one message by their position.

use std::sync::Arc;

use serde_json::Value;

use super::errors::WireFault;
use crate::policy::api::*;

/// The values of one message, without its name.
pub(super) struct Fields<'a> {
    /// The message's name.
    pub name: &'a str,
    /// The message's values.
    pub values: &'a [Value],
}

impl<'a> Fields<'a> {
    /// The value at a position, of any type.
    pub fn at(&self, position: usize) -> Result<&'a Value, WireFault> {
        self.values.get(position).ok_or_else(|| WireFault::TooFew {
            name: self.name.to_owned(),
            given: self.values.len(),
            needed: position + 1,
        })
    }

    /// The fault for a value that can't be read as `wanted`.
    pub fn invalid_value(&self, position: usize, wanted: &'static str) -> WireFault {
        WireFault::Value { name: self.name.to_owned(), number: position + 1, wanted }
    }

    /// The number at a position.
    pub fn number(&self, position: usize) -> Result<f64, WireFault> {
        self.at(position)?.as_f64().ok_or_else(|| self.invalid_value(position, "a number"))
    }

    /// The number at a position, or `default` where the value is null.
    pub fn number_or(&self, position: usize, default: f64) -> Result<f64, WireFault> {
        if self.at(position)?.is_null() { Ok(default) } else { self.number(position) }
    }

    /// The non-negative integer at a position.
    pub fn integer(&self, position: usize) -> Result<u64, WireFault> {
        self.at(position)?.as_u64().ok_or_else(|| self.invalid_value(position, "a whole number"))
    }

    /// The string at a position.
    pub fn text(&self, position: usize) -> Result<&'a str, WireFault> {
        self.at(position)?.as_str().ok_or_else(|| self.invalid_value(position, "a text"))
    }

    /// The key at a position; `None` where the value is null.
    pub fn key(&self, position: usize) -> Result<Option<Key>, WireFault> {
        if self.at(position)?.is_null() {
            return Ok(None);
        }
        self.text(position).map(|text| Some(Key(Arc::from(text))))
    }

    /// The Boolean at a position; false where the value is null.
    pub fn flag(&self, position: usize) -> Result<bool, WireFault> {
        match self.at(position)? {
            Value::Null => Ok(false),
            value => value.as_bool().ok_or_else(|| self.invalid_value(position, "true or false")),
        }
    }

    /// The request id, which follows the instance's name in most messages.
    pub fn request_id(&self) -> Result<RequestId, WireFault> {
        self.integer(1).map(RequestId)
    }

    /// The endpoint id at a position.
    pub fn endpoint(&self, position: usize) -> Result<EndpointId, WireFault> {
        self.text(position).map(|text| EndpointId(Arc::from(text)))
    }

    /// The attempt number at a position.
    pub fn attempt(&self, position: usize) -> Result<AttemptId, WireFault> {
        self.integer(position).map(|number| AttemptId(u32::try_from(number).unwrap_or(u32::MAX)))
    }

    /// The outcome of an attempt at a position.
    pub fn outcome(&self, position: usize) -> Result<Outcome, WireFault> {
        Ok(match self.integer(position)? {
            10 => Outcome::Ok,
            20 => Outcome::Error,
            30 => Outcome::Rejected,
            40 => Outcome::TimedOut,
            50 => Outcome::ConnectFailed,
            60 => Outcome::Reset,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
            _ => return Err(self.invalid_value(position, "a known outcome")),
        })
    }

    /// The class whose name is at a position, as an index into `classes`; `None` where the name is not among
    /// them.
    pub fn class(&self, position: usize, classes: &[String]) -> Result<Option<ClassId>, WireFault> {
        let name = self.text(position)?;
        Ok(classes.iter().position(|class| class == name).map(ClassId))
    }
}
