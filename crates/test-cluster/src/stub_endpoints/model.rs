//! What an endpoint is and how it behaves.

use std::sync::Arc;

use crate::Millis;

/// An endpoint's place and capacity.
#[derive(Clone, Debug)]
pub struct EndpointModel {
    /// Its name.
    pub id: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its size, as discovery lists it.
    pub size: f64,
    /// Set-ups a second that it takes when warm.
    pub setups_per_s: f64,
    /// Connections that it holds at most.
    pub max_connections: usize,
}

/// How an endpoint treats what arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// As it should.
    Healthy,
    /// A set-up takes so many milliseconds more.
    SlowSetups(Millis),
    /// Set-ups are taken and never answered; established connections go on.
    HangingSetups,
    /// Nothing is answered and no line returned, as by a machine that has vanished.
    Silent,
    /// Every set-up is answered `ERR`.
    FailingSetups,
}
