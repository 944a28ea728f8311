//! Typed access to the values of one message, by position.

use std::sync::Arc;

use serde_json::Value;

use super::errors::WireFault;
use crate::policy::api::*;

/// The values of one message behind its name.
pub(super) struct Fields<'a> {
    /// The message's name.
    pub name: &'a str,
    /// Its values.
    pub values: &'a [Value],
}

impl<'a> Fields<'a> {
    /// A value, whatever it is.
    pub fn at(&self, position: usize) -> Result<&'a Value, WireFault> {
        self.values.get(position).ok_or_else(|| WireFault::TooFew {
            name: self.name.to_owned(),
            given: self.values.len(),
            needed: position + 1,
        })
    }

    /// The fault of a value that can't be read.
    pub fn wrong(&self, position: usize, wanted: &'static str) -> WireFault {
        WireFault::Value { name: self.name.to_owned(), number: position + 1, wanted }
    }

    /// A number.
    pub fn number(&self, position: usize) -> Result<f64, WireFault> {
        self.at(position)?.as_f64().ok_or_else(|| self.wrong(position, "a number"))
    }

    /// A number, or `default` in place of null.
    pub fn number_or(&self, position: usize, default: f64) -> Result<f64, WireFault> {
        if self.at(position)?.is_null() { Ok(default) } else { self.number(position) }
    }

    /// A whole number.
    pub fn whole(&self, position: usize) -> Result<u64, WireFault> {
        self.at(position)?.as_u64().ok_or_else(|| self.wrong(position, "a whole number"))
    }

    /// A text.
    pub fn text(&self, position: usize) -> Result<&'a str, WireFault> {
        self.at(position)?.as_str().ok_or_else(|| self.wrong(position, "a text"))
    }

    /// A key; `None` in place of null.
    pub fn key(&self, position: usize) -> Result<Option<Key>, WireFault> {
        if self.at(position)?.is_null() {
            return Ok(None);
        }
        self.text(position).map(|text| Some(Key(Arc::from(text))))
    }

    /// True or false; false in place of null.
    pub fn flag(&self, position: usize) -> Result<bool, WireFault> {
        match self.at(position)? {
            Value::Null => Ok(false),
            value => value.as_bool().ok_or_else(|| self.wrong(position, "true or false")),
        }
    }

    /// The request that most messages name behind the instance.
    pub fn request_id(&self) -> Result<RequestId, WireFault> {
        self.whole(1).map(RequestId)
    }

    /// An endpoint.
    pub fn endpoint(&self, position: usize) -> Result<EndpointId, WireFault> {
        self.text(position).map(|text| EndpointId(Arc::from(text)))
    }

    /// The number of an attempt.
    pub fn attempt(&self, position: usize) -> Result<AttemptId, WireFault> {
        self.whole(position).map(|number| AttemptId(u32::try_from(number).unwrap_or(u32::MAX)))
    }

    /// How an attempt ended.
    pub fn outcome(&self, position: usize) -> Result<Outcome, WireFault> {
        Ok(match self.whole(position)? {
            10 => Outcome::Ok,
            20 => Outcome::Error,
            30 => Outcome::Rejected,
            40 => Outcome::TimedOut,
            50 => Outcome::ConnectFailed,
            60 => Outcome::Reset,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
            _ => return Err(self.wrong(position, "a known outcome")),
        })
    }

    /// The class that a text names, by its position among these; `None` where they do not name it.
    pub fn class(&self, position: usize, classes: &[String]) -> Result<Option<ClassId>, WireFault> {
        let name = self.text(position)?;
        Ok(classes.iter().position(|class| class == name).map(ClassId))
    }
}
