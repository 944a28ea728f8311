//! Which fraction of the clients was served in each segment of a run: each third, each class and each
//! tenant; and whether no segment is below a minimum.
//!
//! Its inputs are the log's events and the caller's minimum; it owns the counts. A client counts in the
//! third in which it arrived, whenever it is served, and one whose end the log does not show counts as not
//! served.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use crate::Millis;
use crate::log::{Event, EventKind};

/// Clients that arrived, and how many of them were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedCount {
    /// Clients that were served in time.
    pub served: u64,
    /// Clients that arrived.
    pub arrived: u64,
}

impl ServedCount {
    /// The fraction that was served; 0 where nobody arrived.
    pub fn served_fraction(&self) -> f64 {
        self.served as f64 / self.arrived.max(1) as f64
    }
}

impl fmt::Display for ServedCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "served {} of {}, {:.2}", self.served, self.arrived, self.served_fraction())
    }
}

/// A class and a tenant, by which clients are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassAndTenant {
    /// The class.
    pub class: Arc<str>,
    /// The tenant.
    pub tenant: Arc<str>,
}

/// A segment of a run's clients.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    /// Clients that arrived in this third of the time between the first and the last arrival: 1 to 3.
    Third(usize),
    /// Clients of a class.
    Class(Arc<str>),
    /// Clients of a tenant.
    Tenant(Arc<str>),
}

impl fmt::Display for Segment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Segment::Third(number) => write!(f, "third {number}"),
            Segment::Class(name) => write!(f, "class {name}"),
            Segment::Tenant(name) => write!(f, "tenant {name}"),
        }
    }
}

/// A segment and its count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentCount {
    /// The segment.
    pub segment: Segment,
    /// Its count.
    pub count: ServedCount,
}

impl fmt::Display for SegmentCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.segment, self.count)
    }
}

/// Why a run misses a minimum.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ServiceLevelError {
    /// Nobody arrived in these thirds, of which nothing can be said then.
    #[error("nobody arrived in {}", join(.0, ", "))]
    NoArrivals(Vec<Segment>),
    /// Segments are below the minimum.
    #[error("below the minimum of {min_fraction:.2}: {}", join(.segments, "; "))]
    BelowMinimum {
        /// The minimum, as a fraction of the clients that arrived.
        min_fraction: f64,
        /// The segments below it.
        segments: Vec<SegmentCount>,
    },
}

impl ServiceLevelError {
    /// What whoever runs the cluster can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            ServiceLevelError::NoArrivals(_) => {
                "let clients arrive throughout the run, or check it without a minimum"
            }
            ServiceLevelError::BelowMinimum { .. } => {
                "look in the log for what became of the clients of the segments named"
            }
        }
    }
}

fn join(items: &[impl fmt::Display], separator: &str) -> String {
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join(separator)
}

/// What was served in each segment of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceLevels {
    /// The count of each segment; every third is there, whether anybody arrived in it or not.
    pub counts: BTreeMap<Segment, ServedCount>,
}

impl ServiceLevels {
    /// Counts the clients of a log.
    pub fn from_events(events: &[Event]) -> ServiceLevels {
        let arrivals = ArrivalPeriod::of(events);
        let mut counts: BTreeMap<_, _> =
            (1..=3).map(|third| (Segment::Third(third), ServedCount::default())).collect();
        let mut unserved = HashMap::new();
        for event in events {
            match &event.kind {
                EventKind::ClientArrived { client, class, tenant } => {
                    let segments = [
                        Segment::Third(arrivals.third(event.at_ms)),
                        Segment::Class(class.clone()),
                        Segment::Tenant(tenant.clone()),
                    ];
                    for segment in &segments {
                        counts.entry(segment.clone()).or_default().arrived += 1;
                    }
                    unserved.insert(*client, segments);
                }
                // A client counts once, also where the log has its end twice.
                EventKind::ClientFinished { client, served: true, .. } => {
                    for segment in unserved.remove(client).into_iter().flatten() {
                        counts.entry(segment).or_default().served += 1;
                    }
                }
                _ => {}
            }
        }
        ServiceLevels { counts }
    }

    /// Checks that in each segment at least this fraction of the clients was served.
    ///
    /// ```
    /// use sandgw_test_cluster::service_levels::{ServiceLevelError, ServiceLevels};
    /// let checked = ServiceLevels::from_events(&[]).check_minimum(0.2);
    /// assert!(matches!(checked, Err(ServiceLevelError::NoArrivals(thirds)) if thirds.len() == 3));
    /// ```
    ///
    /// # Errors
    ///
    /// [`ServiceLevelError::NoArrivals`] if a segment has no clients, [`ServiceLevelError::BelowMinimum`]
    /// if one is below the minimum or the minimum is no number.
    pub fn check_minimum(&self, min_fraction: f64) -> Result<(), ServiceLevelError> {
        let empty = self.counts.iter().filter(|(_, count)| count.arrived == 0);
        let empty: Vec<_> = empty.map(|(segment, _)| segment.clone()).collect();
        if !empty.is_empty() {
            return Err(ServiceLevelError::NoArrivals(empty));
        }
        // Written so that a minimum that is no number is met by nobody.
        let meets_minimum = |count: &ServedCount| count.served_fraction() >= min_fraction;
        let below = self.counts.iter().filter(|(_, count)| !meets_minimum(count));
        let segments: Vec<_> =
            below.map(|(segment, count)| SegmentCount { segment: segment.clone(), count: *count }).collect();
        if segments.is_empty() {
            Ok(())
        } else {
            Err(ServiceLevelError::BelowMinimum { min_fraction, segments })
        }
    }
}

impl fmt::Display for ServiceLevels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.counts.iter().try_for_each(|(segment, count)| writeln!(f, "{segment}: {count}"))
    }
}

/// The time between the first and the last arrival.
struct ArrivalPeriod {
    first_ms: Millis,
    length_ms: Millis,
}

impl ArrivalPeriod {
    fn of(events: &[Event]) -> ArrivalPeriod {
        let arrivals = events.iter().filter(|event| matches!(event.kind, EventKind::ClientArrived { .. }));
        let times: Vec<_> = arrivals.map(|event| event.at_ms).collect();
        let first_ms = times.iter().copied().fold(f64::INFINITY, f64::min);
        let last_ms = times.iter().copied().fold(first_ms, f64::max);
        ArrivalPeriod { first_ms, length_ms: last_ms - first_ms }
    }

    /// The third, from 1, in which this time lies.
    fn third(&self, at_ms: Millis) -> usize {
        if self.length_ms > 0.0 {
            (3.0 * (at_ms - self.first_ms) / self.length_ms).min(2.0) as usize + 1
        } else {
            1
        }
    }
}
