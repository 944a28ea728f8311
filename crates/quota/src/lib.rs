//! What each member (tenant) uses of a whole tier of relays, and who is refused first where places are short.
//!
//! [`tenants`] names the members and their shares; [`usage_gossip`] is what relays tell each other, in datagrams of at most
//! 256 bytes; [`usage_table`] keeps this relay's own counts, which are exact, and sums them with the others', whose age is
//! known; [`policy`] says who is refused. [`QuotaManager`] ties them together for the core. All is free of I/O, with the
//! time passed in: it never sends by itself, never ends a connection that stands and never waits. `docs/shares.md` names
//! the ways weighed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod policy;
pub mod rate;
pub mod tenants;
pub mod usage_gossip;
pub mod usage_table;

use crate::policy::{QuotaPolicy, ScarcitySignals, Verdict};
use crate::tenants::Tenants;
use crate::usage_gossip::UsageReport;
use crate::usage_table::{Place, Sends, StoredUsage, UsageTable, View};

pub use sandgw_units::Millis;

/// By this part of its share, and one connection at the least, a member may be over it with clients that come again.
const AGAIN: f64 = 0.05;

/// The limit as the core asks it: the ledger and the policy over it.
///
/// ```
/// use sandgw_quota::{QuotaManager, usage_table::Place, tenants::{Tenant, Tenants}, policy::{ScarcitySignals, Verdict}};
///
/// let acme = Tenant { name: "acme".into(), connections: Some(1.0), per_s: None };
/// let place = Place { local_index: 0, relays: 1, peers: false };
/// let mut shares = QuotaManager::new(Tenants::new(vec![acme]).unwrap(), place, 1.0);
/// let (full, free) = (ScarcitySignals { endpoints: true, ..ScarcitySignals::default() }, ScarcitySignals::default());
/// assert_eq!(shares.came(10.0, "acme", false, full), Verdict::Within);
/// assert_eq!(shares.came(20.0, "acme", false, full), Verdict::Over, "it has one already");
/// assert_eq!(shares.came(9000.0, "acme", false, free), Verdict::Within, "nobody is refused where there is room");
/// ```
pub struct QuotaManager {
    ledger: UsageTable,
    policy: QuotaPolicy,
}

impl QuotaManager {
    /// For a relay that starts now, on a clock that a later start finds further on.
    pub fn new(members: Tenants, place: Place, now: Millis) -> Self {
        let policy = QuotaPolicy::new(members.len(), now, u64::from(place.local_index));
        QuotaManager { ledger: UsageTable::new(members, place, now), policy }
    }

    /// A connection asks to be placed. `returned` is one whose client has been counted before; one that is within its share
    /// counts from now on, until [`QuotaManager::ended`].
    pub fn came(&mut self, now: Millis, member: &str, returned: bool, signs: ScarcitySignals) -> Verdict {
        self.policy.look(now, signs);
        let Some(at) = self.ledger.position(member) else { return Verdict::Within };
        if !returned {
            self.ledger.arrived(now, at);
        }
        let mut view = self.ledger.view(now, at);
        if returned {
            // Where it was before it may still be counted, for a moment.
            view.limit += (view.limit * AGAIN).max(1.0);
        }
        let verdict = self.policy.ask(now, at, &view);
        if verdict == Verdict::Within {
            self.ledger.pending(at);
        }
        verdict
    }

    /// A connection is taken without being asked about: it stands already, elsewhere or at an endpoint.
    pub fn kept(&mut self, member: &str) {
        let at = self.ledger.position(member);
        at.into_iter().for_each(|at| self.ledger.pending(at));
    }

    /// A connection that counts has come to stand.
    pub fn stands(&mut self, member: &str) {
        self.policy.placed();
        let at = self.ledger.position(member);
        at.into_iter().for_each(|at| self.ledger.stands(at));
    }

    /// A connection that counts has ended, whether it stood or not.
    pub fn ended(&mut self, member: &str, stood: bool) {
        let at = self.ledger.position(member);
        at.into_iter().for_each(|at| self.ledger.ended(at, stood));
    }

    /// An endpoint has turned a connection away.
    pub fn turned_away(&mut self, now: Millis) {
        self.policy.turned_away(now);
    }

    /// A connection was refused for want of a place, without any attempt.
    pub fn refused(&mut self, now: Millis) {
        self.policy.refused(now);
    }

    /// Takes another relay's datagram.
    pub fn told(&mut self, now: Millis, peer: u32, told: UsageReport, out: &mut Sends) {
        self.ledger.told(now, peer, told, out);
    }

    /// Tells where that is due; gives in how long to call again.
    pub fn due(&mut self, now: Millis, out: &mut Sends) -> Millis {
        self.ledger.due(now, out)
    }

    /// Whether places are short.
    pub fn is_short(&self, now: Millis) -> bool {
        self.policy.is_short(now)
    }

    /// Connections refused so far because their member was over its share.
    pub fn refusals(&self) -> u64 {
        self.policy.refusals()
    }

    /// What a member uses of the tier; nothing of one that is not named.
    pub fn view(&self, now: Millis, member: &str) -> Option<View> {
        Some(self.ledger.view(now, self.ledger.position(member)?))
    }

    /// What is worth keeping in a folder.
    pub fn keep(&self, now: Millis) -> StoredUsage {
        self.ledger.keep(now)
    }

    /// Takes what a folder has kept, so long ago.
    pub fn restore(&mut self, now: Millis, age: Millis, kept: StoredUsage) {
        self.ledger.restore(now, age, kept);
    }
}
