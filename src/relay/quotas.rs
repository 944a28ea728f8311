//! Members' shares, as the core asks about them: what the settings say, which signs of shortage the module gives, and
//! the flows that are counted. The counting and the decision are in the crate `sandgw-shares`.

use sandgw_quota::Shares;
use sandgw_quota::policy::{Signs, Verdict};
use sandgw_quota::tenants::Members;
use sandgw_quota::usage_table::{Place, Sends};

use crate::Balancer;
use crate::policy::api::*;

/// Whether shares are kept to where no file of an operator says so. Nothing is counted or told where they are not.
const ENFORCED: bool = false;

/// Members' shares in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareSettings {
    /// Who has a share.
    pub members: Members,
    /// What a flow beyond its member's share is worth, as a part of what it is worth within.
    pub over_worth: f64,
    /// Whether who is over its share is refused first where places are short.
    pub enforce: bool,
}

impl Default for ShareSettings {
    fn default() -> Self {
        ShareSettings { members: Members::default(), over_worth: 0.0, enforce: ENFORCED }
    }
}

impl ShareSettings {
    /// Whether any member has a limit.
    pub fn has_limits(&self) -> bool {
        let all = (0..self.members.len()).filter_map(|at| self.members.get(at));
        all.into_iter().any(|m| m.connections.is_some() || m.per_s.is_some())
    }
}

/// What is counted of flows, where shares are kept to.
#[derive(Default)]
pub(crate) struct Counted(Option<Shares>);

impl Counted {
    /// For these settings; nothing is counted where a flow beyond a share is worth as much as one within.
    pub fn new(settings: &Settings, now: Millis) -> Self {
        let shares = &settings.shares;
        let counts = shares.enforce && shares.over_worth < 1.0 && shares.has_limits();
        let place = Place { me: settings.me, relays: settings.balancers, peers: settings.peers };
        Counted(counts.then(|| Shares::new(shares.members.clone(), place, now)))
    }

    /// Whether a flow that comes is refused. One that is not counts until [`Counted::ended`].
    pub fn refuses(
        &mut self,
        now: Millis,
        member: &str,
        returned: bool,
        signs: impl FnOnce() -> Signs,
    ) -> bool {
        self.0.as_mut().is_some_and(|s| s.came(now, member, returned, signs()) == Verdict::Over)
    }

    /// A flow is taken that stands already.
    pub fn kept(&mut self, member: &str) {
        self.0.iter_mut().for_each(|s| s.kept(member));
    }

    /// A flow has come to stand.
    pub fn stands(&mut self, member: &str) {
        self.0.iter_mut().for_each(|s| s.stands(member));
    }

    /// A flow has ended.
    pub fn ended(&mut self, member: &str, stood: bool) {
        self.0.iter_mut().for_each(|s| s.ended(member, stood));
    }

    /// A streamer has turned a flow away.
    pub fn turned_away(&mut self, now: Millis) {
        self.0.iter_mut().for_each(|s| s.turned_away(now));
    }

    /// The module has refused a flow without any attempt.
    pub fn refused(&mut self, now: Millis) {
        self.0.iter_mut().for_each(|s| s.refused(now));
    }

    /// Takes another relay's datagram.
    pub fn told(&mut self, now: Millis, peer: u32, told: Told, out: &mut Sends) {
        if let Some(shares) = &mut self.0 {
            shares.told(now, peer, told, out);
        }
    }

    /// Tells where that is due; gives in how long to call again, if at all.
    pub fn due(&mut self, now: Millis, out: &mut Sends) -> Option<Millis> {
        self.0.as_mut().map(|s| s.due(now, out))
    }

    /// Flows refused so far.
    pub fn refusals(&self) -> u64 {
        self.0.as_ref().map_or(0, Shares::refusals)
    }
}

impl Balancer {
    /// Signs that places are short: the window of set-ups is cut, or no server has room by what is known of it.
    pub(crate) fn signs(&self, now: Millis) -> Signs {
        let each = self.ledger.per_server(self.ring.len());
        let room =
            |id: &ServerId| self.ledger.servers.get(id).is_some_and(|s| s.load + 1.0 <= s.cap(now, each));
        Signs {
            window: !self.queue.is_empty() || self.pace.common(now),
            streamers: !self.ring.iter().any(room) || self.ledger.crowded(now),
            descriptors: false,
        }
    }
}
