//! Finds endpoints that carry so much more than others that a fraction of their connections is to be
//! migrated.
//!
//! Connections are placed once and last for a minute. While some endpoints are unavailable or warming up, the
//! cluster places more connections on the others. These stay there once the missing endpoints are back, and
//! new arrivals alone take minutes to even out the load. Each relay knows the load of all endpoints
//! ([`crate::load_aggregation`]) and migrates the same fraction of its local connections, so the sum over all
//! relays is that fraction as well, without any coordination.

/// How far an endpoint's load may exceed its fair load before the rest counts as excess, in multiples of the
/// square root of the fair load: random placement alone causes differences of this size.
const TOLERATED_EXCESS_PER_SQRT_FAIR_LOAD: f64 = 0.3;
/// The fraction of the excess that is migrated with each update of the cluster's load.
const MIGRATED_FRACTION_OF_EXCESS: f64 = 0.3;

/// The load and the capacity of an endpoint, each in any unit that is the same for all endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointLoad {
    /// The load that the endpoint carries.
    pub load: f64,
    /// The load that the endpoint can carry.
    pub capacity: f64,
}

/// Returns, for each endpoint, the fraction of its connections to migrate now.
///
/// ```
/// use sandgw_cluster::rebalance::{EndpointLoad, migration_fractions};
///
/// // Two endpoints of equal capacity: one carries 90 connections, the other 10.
/// let endpoint = |load| EndpointLoad { load, capacity: 1.0 };
/// let fractions = migration_fractions(&[endpoint(90.0), endpoint(10.0)]);
/// assert!(fractions[0] > 0.0 && fractions[0] < 0.3 && fractions[1] == 0.0);
/// // A difference that random placement explains is tolerated.
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
    let excess = endpoint.load - fair_load - TOLERATED_EXCESS_PER_SQRT_FAIR_LOAD * fair_load.sqrt();
    if total.capacity > 0.0 && excess > 0.0 {
        MIGRATED_FRACTION_OF_EXCESS * excess / endpoint.load
    } else {
        0.0
    }
}
