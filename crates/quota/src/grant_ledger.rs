//! Connections that the coordinator has granted to other relays and that their reports do not show yet.
//!
//! A grant is a ceiling: the number of a tenant's connections that one relay may have open for a short
//! while. Ceilings are totals, so a grant that is lost, repeated or overtaken never adds up to more than was
//! granted. Until a grant expires, the ledger counts its ceiling in place of the connections that the relay
//! reports, where the relay reports fewer. Inputs are requests and the time in milliseconds; the ledger sends
//! nothing.

use std::collections::BTreeMap;

use sandgw_units::Millis;

use crate::peer_reports::ReportId;
use crate::tenants::TenantTag;

/// A relay may use a grant for this time, counted from when the relay began to request it.
pub(crate) const GRANT_TTL_MS: Millis = 1000.0;
/// The coordinator counts a grant for longer than [`GRANT_TTL_MS`]: it receives the request after the relay
/// has sent it, and the relay still has to report the connections that it admitted under the grant.
const GRANT_RETENTION_MS: Millis = 2.5 * GRANT_TTL_MS;

/// A relay's demand for connections of one tenant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantDemand {
    pub tenant: TenantTag,
    /// Open connections of the requesting relay.
    pub open: f64,
    /// Connections that the requesting relay wants in addition.
    pub wanted: f64,
}

#[derive(Clone, Copy, Debug)]
struct LiveGrant {
    ceiling: f64,
    expires_at: Millis,
}

/// The grants of one coordinator; see the module documentation.
#[derive(Default)]
pub(crate) struct GrantLedger {
    live: BTreeMap<(TenantTag, u32), LiveGrant>,
    last_requests: BTreeMap<u32, ReportId>,
}

impl GrantLedger {
    /// Whether a request is later than all earlier requests of this relay; if so, records the request.
    /// Duplicate and overtaken requests are not answered.
    pub fn is_new_request(&mut self, peer: u32, id: ReportId) -> bool {
        let is_new = self.last_requests.get(&peer).is_none_or(|last| id.is_after(*last));
        if is_new {
            self.last_requests.insert(peer, id);
        }
        is_new
    }

    /// Connections that relays other than `except` may open under their grants, beyond the connections that
    /// each of these relays has reported.
    pub fn unreported(
        &self,
        now: Millis,
        tenant: TenantTag,
        except: Option<u32>,
        reported: impl Fn(u32) -> f64,
    ) -> f64 {
        let grants = self.live.range((tenant, 0)..=(tenant, u32::MAX));
        let counted = grants.filter(|((_, peer), grant)| Some(*peer) != except && now < grant.expires_at);
        counted.map(|((_, peer), grant)| (grant.ceiling - reported(*peer)).max(0.0)).sum()
    }

    /// Grants as many of the wanted connections as are free, and returns the ceiling.
    pub fn grant(&mut self, now: Millis, peer: u32, demand: GrantDemand, free: f64) -> f64 {
        self.live.retain(|_, grant| now < grant.expires_at);
        let ceiling = demand.open + demand.wanted.min(free.floor()).max(0.0);
        self.live.insert((demand.tenant, peer), LiveGrant { ceiling, expires_at: now + GRANT_RETENTION_MS });
        ceiling
    }
}
