//! Members' shares, as the core asks about them: what the settings say, which signs of shortage the load balancer gives, and
//! the connections that are counted. The counting and the decision are in the crate `sandgw-shares`.

use sandgw_quota::QuotaManager;
use sandgw_quota::policy::{ScarcitySignals, Verdict};
use sandgw_quota::usage_table::{Place, Sends};

use crate::policy::api::*;

/// What is counted of connections, where shares are kept to.
#[derive(Default)]
pub(crate) struct Counted(Option<QuotaManager>);

impl Counted {
    /// For these settings; nothing is counted where a connection beyond a share is worth as much as one within.
    pub fn new(settings: &Settings, now: Millis) -> Self {
        let shares = &settings.quotas;
        let counts = shares.enforce && shares.over_quota_weight < 1.0 && shares.has_limits();
        let place = Place {
            local_index: settings.local_index,
            relays: settings.relay_count,
            peers: settings.peer_messages,
        };
        Counted(counts.then(|| QuotaManager::new(shares.tenants.clone(), place, now)))
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
