//! Which endpoints carry so much more than others that a share of their clients is asked to come again.
//!
//! Connections are placed once and stand for a minute. What a tier has placed on the endpoints that it had while others
//! were away or cold stays there once those are back, and arrivals alone even it out in minutes. Each relay knows what
//! all hold ([`crate::load_aggregation`]) and moves its own share of what is too much, a part of it each time it is told, so
//! that the sum over all relays is that part as well and nobody has to say who moves whom.

/// How far an endpoint's load may lie above its share before it is too much, in roots of that share.
const CHANCE: f64 = 0.3;
/// Part of what is too much that goes each time that relays are told.
const PART: f64 = 0.3;

/// For each endpoint, the share of its connections to be moved now, by what it holds and what it can do beside the
/// others; each in any unit that is the same for all.
///
/// ```
/// use sandgw_cluster::rebalance::shares;
///
/// // Two endpoints of one size: one holds 90 connections, the other 10.
/// let moved = shares(&[(90.0, 1.0), (10.0, 1.0)]);
/// assert!(moved[0] > 0.0 && moved[0] < 0.3 && moved[1] == 0.0);
/// // What chance alone brings about is left.
/// assert_eq!(shares(&[(51.0, 1.0), (49.0, 1.0)]), [0.0, 0.0]);
/// ```
pub fn shares(endpoints: &[(f64, f64)]) -> Vec<f64> {
    let (held, power) = endpoints.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
    let share = |(here, able): &(f64, f64)| {
        let fair = held / power * able;
        let over = here - fair - CHANCE * fair.sqrt();
        if power > 0.0 && over > 0.0 { PART * over / here } else { 0.0 }
    };
    endpoints.iter().map(share).collect()
}
