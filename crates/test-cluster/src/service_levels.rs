//! How much of what was asked was served in each part of a run: each third, each class and each tenant; and whether
//! no part fell below a floor.
//!
//! It is fed the log's events and owns the counts; the floor is its caller's. A client counts in the third in which it
//! arrived, whenever it is served, and one whose end the log does not show counts as not served.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use crate::log::{Event, What};

/// What was asked, and how much of it was served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Clients that were served in time.
    pub served: u64,
    /// Clients that arrived.
    pub asked: u64,
}

impl Share {
    /// The share served; none of nothing.
    pub fn served_of_asked(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "served {} of {}, {:.2}", self.served, self.asked, self.served_of_asked())
    }
}

/// A part of a run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Clients that arrived in this third of the time between the first and the last arrival: 1 to 3.
    Third(usize),
    /// Clients of a class.
    Class(Arc<str>),
    /// Clients of a tenant.
    Tenant(Arc<str>),
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Part::Third(n) => write!(f, "third {n}"),
            Part::Class(name) => write!(f, "class {name}"),
            Part::Tenant(name) => write!(f, "tenant {name}"),
        }
    }
}

/// Why a run does not hold a floor.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FloorError {
    /// Nobody arrived in a third, of which nothing can be said then.
    #[error("nobody asked in {}", listed(.0))]
    NotAsked(Vec<Part>),
    /// Parts were served less than the floor.
    #[error("under the floor of {floor:.2}: {}", starved(.parts))]
    Starved {
        /// The floor, as a share of what was asked.
        floor: f64,
        /// The parts under it.
        parts: Vec<(Part, Share)>,
    },
}

impl FloorError {
    /// What who runs the rig can do.
    pub fn help(&self) -> &'static str {
        match self {
            FloorError::NotAsked(_) => "let clients arrive throughout the run, or judge it without a floor",
            FloorError::Starved { .. } => "look in the log for what became of the clients of the parts named",
        }
    }
}

fn listed(parts: &[Part]) -> String {
    parts.iter().map(Part::to_string).collect::<Vec<_>>().join(", ")
}

fn starved(parts: &[(Part, Share)]) -> String {
    parts.iter().map(|(part, share)| format!("{part} {share}")).collect::<Vec<_>>().join("; ")
}

/// What was served in each part of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaManager {
    /// By part; each third is there, whether anybody arrived in it or not.
    pub by: BTreeMap<Part, Share>,
}

impl QuotaManager {
    /// Counts the clients of a log.
    pub fn of(events: &[Event]) -> QuotaManager {
        let arrivals = || events.iter().filter(|e| matches!(e.what, What::Arrived { .. })).map(|e| e.at);
        let first = arrivals().fold(f64::INFINITY, f64::min);
        let span = arrivals().fold(first, f64::max) - first;
        let third = |at: f64| if span > 0.0 { (3.0 * (at - first) / span).min(2.0) as usize + 1 } else { 1 };
        let mut by: BTreeMap<_, _> = (1..=3).map(|n| (Part::Third(n), Share::default())).collect();
        let mut parts = HashMap::new();
        for e in events {
            match &e.what {
                What::Arrived { client, class, tenant } => {
                    let of =
                        [Part::Third(third(e.at)), Part::Class(class.clone()), Part::Tenant(tenant.clone())];
                    of.iter().for_each(|part| by.entry(part.clone()).or_default().asked += 1);
                    parts.insert(*client, of);
                }
                // Once each, whatever the log says twice.
                What::Done { client, served: true, .. } => {
                    let of = parts.remove(client).into_iter().flatten();
                    of.for_each(|part| by.entry(part).or_default().served += 1);
                }
                _ => {}
            }
        }
        QuotaManager { by }
    }

    /// Whether each part was served this share of what it asked at the least.
    ///
    /// ```
    /// use sandgw_test_cluster::service_levels::{FloorError, QuotaManager};
    /// assert!(matches!(QuotaManager::of(&[]).hold(0.2), Err(FloorError::NotAsked(thirds)) if thirds.len() == 3));
    /// ```
    pub fn hold(&self, floor: f64) -> Result<(), FloorError> {
        let not_asked: Vec<_> =
            self.by.iter().filter(|(_, s)| s.asked == 0).map(|(p, _)| p.clone()).collect();
        if !not_asked.is_empty() {
            return Err(FloorError::NotAsked(not_asked));
        }
        let holds = |share: &Share| share.served_of_asked() >= floor;
        let parts: Vec<_> =
            self.by.iter().filter(|(_, share)| !holds(share)).map(|(p, s)| (p.clone(), *s)).collect();
        if parts.is_empty() { Ok(()) } else { Err(FloorError::Starved { floor, parts }) }
    }
}

impl fmt::Display for QuotaManager {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.by.iter().try_for_each(|(part, share)| writeln!(f, "{part}: {share}"))
    }
}
