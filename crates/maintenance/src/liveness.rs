//! Who of the tier is alive, and in which life.
//!
//! It is fed what is heard anyway and sends nothing itself: `docs/maintenance.md` weighs that against a protocol of
//! its own. A life is the time at which a process started; a relay that has started anew has forgotten everything.

use std::collections::BTreeMap;

use crate::WholeMillis;

/// What a relay said counts for so long, as in the census.
pub const COUNTS: WholeMillis = 15_000;

/// The relays that were heard of lately.
///
/// ```
/// use sandgw_maintenance::liveness::Liveness;
///
/// let mut members = Liveness::default();
/// assert!(!members.heard(3, Some(100), 1_000));
/// assert!(members.heard(3, Some(900), 2_000), "a new life");
/// assert_eq!((members.is_alive(3, 16_000), members.is_alive(3, 18_000)), (true, false));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    heard: BTreeMap<u32, (WholeMillis, Option<u64>)>,
}

impl Liveness {
    /// A relay was heard of, in a life where it said which. Whether that is another life than before.
    pub fn heard(&mut self, relay: u32, life: Option<u64>, now: WholeMillis) -> bool {
        let (at, known) = self.heard.entry(relay).or_default();
        *at = now.max(*at);
        // What is late is of an earlier life, and changes nothing.
        let another = known.zip(life).is_some_and(|(known, life)| life > known);
        *known = (*known).max(life);
        another
    }

    /// Whether a relay was heard of lately.
    pub fn is_alive(&self, relay: u32, now: WholeMillis) -> bool {
        self.heard.get(&relay).is_some_and(|(at, _)| now <= at + COUNTS)
    }

    /// A relay's newest life, where it has said so.
    pub fn life(&self, relay: u32) -> Option<u64> {
        self.heard.get(&relay).and_then(|(_, life)| *life)
    }
}
