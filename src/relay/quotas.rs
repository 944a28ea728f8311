//! Members' shares, as the core asks about them: what the settings say, which signs of shortage the load balancer gives, and
//! the connections that are counted. The counting and the decision are in the crate `sandgw-shares`.

use sandgw_quota::QuotaManager;
use sandgw_quota::policy::{ScarcitySignals, Verdict};
use sandgw_quota::tenants::Tenants;
use sandgw_quota::usage_table::{Place, Sends};

use crate::LoadBalancer;
use crate::policy::api::*;

/// Whether shares are kept to where no file of an operator says so. Nothing is counted or told where they are not.
const ENFORCED: bool = false;

/// Members' shares in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Who has a share.
    pub members: Tenants,
    /// What a connection beyond its member's share is worth, as a part of what it is worth within.
    pub over_quota_weight: f64,
    /// Whether who is over its share is refused first where places are short.
    pub enforce: bool,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings { members: Tenants::default(), over_quota_weight: 0.0, enforce: ENFORCED }
    }
}

impl QuotaSettings {
    /// Whether any member has a limit.
    pub fn has_limits(&self) -> bool {
        let all = (0..self.members.len()).filter_map(|at| self.members.get(at));
        all.into_iter().any(|m| m.connections.is_some() || m.per_s.is_some())
    }
}

/// What is counted of connections, where shares are kept to.
#[derive(Default)]
pub(crate) struct Counted(Option<QuotaManager>);

impl Counted {
    /// For these settings; nothing is counted where a connection beyond a share is worth as much as one within.
    pub fn new(settings: &Settings, now: Millis) -> Self {
        let shares = &settings.quotas;
        let counts = shares.enforce && shares.over_quota_weight < 1.0 && shares.has_limits();
        let place =
            Place { local_index: settings.local_index, relays: settings.relay_count, peers: settings.peers };
        Counted(counts.then(|| QuotaManager::new(shares.members.clone(), place, now)))
    }

    /// Whether a connection that comes is refused. One that is not counts until [`Counted::ended`].
    pub fn refuses(
        &mut self,
        now: Millis,
        member: &str,
        returned: bool,
        signs: impl FnOnce() -> ScarcitySignals,
    ) -> bool {
        self.0.as_mut().is_some_and(|s| s.came(now, member, returned, signs()) == Verdict::Over)
    }

    /// A connection is taken that stands already.
    pub fn kept(&mut self, member: &str) {
        self.0.iter_mut().for_each(|s| s.kept(member));
    }

    /// A connection has come to stand.
    pub fn stands(&mut self, member: &str) {
        self.0.iter_mut().for_each(|s| s.stands(member));
    }

    /// A connection has ended.
    pub fn ended(&mut self, member: &str, stood: bool) {
        self.0.iter_mut().for_each(|s| s.ended(member, stood));
    }

    /// An endpoint has turned a connection away.
    pub fn turned_away(&mut self, now: Millis) {
        self.0.iter_mut().for_each(|s| s.turned_away(now));
    }

    /// The load balancer has refused a connection without any attempt.
    pub fn refused(&mut self, now: Millis) {
        self.0.iter_mut().for_each(|s| s.refused(now));
    }

    /// Takes another relay's datagram.
    pub fn told(&mut self, now: Millis, peer: u32, told: UsageReport, out: &mut Sends) {
        if let Some(shares) = &mut self.0 {
            shares.told(now, peer, told, out);
        }
    }

    /// Tells where that is due; gives in how long to call again, if at all.
    pub fn due(&mut self, now: Millis, out: &mut Sends) -> Option<Millis> {
        self.0.as_mut().map(|s| s.due(now, out))
    }

    /// Connections refused so far.
    pub fn refusals(&self) -> u64 {
        self.0.as_ref().map_or(0, QuotaManager::refusals)
    }
}

impl LoadBalancer {
    /// Signs that places are short: the window of set-ups is cut, or no server has room by what is known of it.
    pub(crate) fn signs(&self, now: Millis) -> ScarcitySignals {
        let each = self.ledger.per_endpoint(self.ring.len());
        let room =
            |id: &EndpointId| self.ledger.endpoints.get(id).is_some_and(|s| s.load + 1.0 <= s.cap(now, each));
        ScarcitySignals {
            window: !self.queue.is_empty() || self.pace.common(now),
            endpoints: !self.ring.iter().any(room) || self.ledger.crowded(now),
            descriptors: false,
        }
    }
}
