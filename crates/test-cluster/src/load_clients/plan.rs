//! Who arrives, and how they behave.

use std::sync::Arc;

use crate::Millis;

/// A name that is drawn with a weight.
#[derive(Clone, Debug)]
pub struct Weighted {
    /// The name.
    pub name: Arc<str>,
    /// Its weight among all.
    pub weight: f64,
}

impl Weighted {
    /// A name with a weight.
    pub fn new(name: &str, weight: f64) -> Weighted {
        Weighted { name: name.into(), weight }
    }
}

/// Who arrives, and how they behave.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// How many.
    pub count: usize,
    /// Within how long, at times drawn evenly.
    pub over_ms: Millis,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Their classes.
    pub classes: Vec<Weighted>,
    /// Their tenants.
    pub tenants: Vec<Weighted>,
    /// The number of groups that they are of.
    pub groups: u64,
    /// How long after its arrival a client goes on trying.
    pub deadline_ms: Millis,
    /// How long it waits for one reply.
    pub reply_timeout_ms: Millis,
    /// How many tries it makes.
    pub max_tries: u32,
    /// The mean pause between two tries; a rejection's own pause counts where it is longer.
    pub pause_ms: Millis,
    /// How long it stays once it is served.
    pub stay_ms: Millis,
    /// How often it sends a line.
    pub line_interval_ms: Millis,
}

impl Default for LoadPlan {
    fn default() -> Self {
        LoadPlan {
            count: 100,
            over_ms: 2000.0,
            seed: 1,
            classes: vec![Weighted::new("stream", 1.0)],
            tenants: vec![Weighted::new("acme", 1.0)],
            groups: 20,
            deadline_ms: 3000.0,
            reply_timeout_ms: 2000.0,
            max_tries: 4,
            pause_ms: 100.0,
            stay_ms: 5000.0,
            line_interval_ms: 2000.0,
        }
    }
}
