//! Which endpoints carry so much more than others that a fraction of their connections is migrated.
//!
//! Connections are placed once and last for a minute. What a cluster places on the endpoints that it has
//! while others are away or warming up stays there once those are back, and new arrivals alone even it out
//! within minutes. Each relay knows the load of all ([`crate::load_aggregation`]) and migrates the same
//! fraction of its local connections, so that the sum over all relays is that fraction as well, without any
//! coordination.

/// How far an endpoint's load may exceed its fair load before it is excess, in square roots of the fair
/// load: random placement alone brings about differences of this size.
const TOLERATED_EXCESS_IN_ROOTS: f64 = 0.3;
/// The fraction of the excess that is migrated with each update of the cluster's load.
const MIGRATED_FRACTION_OF_EXCESS: f64 = 0.3;

/// What an endpoint carries and what it can carry, each in any unit that is the same for all endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointLoad {
    /// Its load.
    pub load: f64,
    /// Its capacity.
    pub capacity: f64,
}

/// For each endpoint, the fraction of its connections that is to be migrated now.
///
/// ```
/// use sandgw_cluster::rebalance::{EndpointLoad, migration_fractions};
///
/// // Two endpoints of one size: one carries 90 connections, the other 10.
/// let endpoint = |load| EndpointLoad { load, capacity: 1.0 };
/// let fractions = migration_fractions(&[endpoint(90.0), endpoint(10.0)]);
/// assert!(fractions[0] > 0.0 && fractions[0] < 0.3 && fractions[1] == 0.0);
/// // What chance alone brings about is left.
/// assert_eq!(migration_fractions(&[endpoint(51.0), endpoint(49.0)]), [0.0, 0.0]);
/// ```
pub fn migration_fractions(endpoints: &[EndpointLoad]) -> Vec<f64> {
    let mut total = EndpointLoad { load: 0.0, capacity: 0.0 };
    for endpoint in endpoints {
        total.load += endpoint.load;
        total.capacity += endpoint.capacity;
    }
    endpoints.iter().map(|endpoint| migration_fraction(endpoint, &total)).collect()
}

fn migration_fraction(endpoint: &EndpointLoad, total: &EndpointLoad) -> f64 {
    let fair_load = total.load / total.capacity * endpoint.capacity;
    let excess = endpoint.load - fair_load - TOLERATED_EXCESS_IN_ROOTS * fair_load.sqrt();
    if total.capacity > 0.0 && excess > 0.0 {
        MIGRATED_FRACTION_OF_EXCESS * excess / endpoint.load
    } else {
        0.0
    }
}
