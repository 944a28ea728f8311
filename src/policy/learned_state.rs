//! What the load balancer has learned of endpoints and groups, as one process hands it to the next: bookkeeping only.
//!
//! Times are carried as ages, since the two processes' clocks need not agree. What comes in is checked as anything
//! from outside is; what is known of endpoints that the list does not name is passed over.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::api::*;
use super::load_balancer::LoadBalancer;

/// Endpoints and groups in one piece at the most.
const PIECE: usize = 256;

/// A piece of what the load balancer has learned.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// How long from now no new connection may go to a cold endpoint.
    pub cold_in: Millis,
    /// Whether messages are told to be slow.
    hears: bool,
    endpoints: Vec<Learned>,
    /// Arrivals of groups, by slot.
    groups: Vec<(u32, f64)>,
}

/// What is known of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Learned {
    id: String,
    /// When it started, as listed or as inferred.
    started: Millis,
    cap: f64,
    slow_for: Millis,
    cut_for: Millis,
    skip_for: Millis,
    failures: u32,
    down: bool,
    setup: (Millis, Millis),
}

impl LearnedState {
    /// Nothing but how long from now no new connection may go to a cold endpoint.
    pub fn pause(cold_in: Millis) -> Self {
        LearnedState { cold_in, ..LearnedState::default() }
    }
}

impl LoadBalancer {
    /// All that was learned, in pieces.
    pub(crate) fn export_learned_state(&self, now: Millis) -> Vec<LearnedState> {
        let learned = self.ledger.endpoints.iter().map(|(id, s)| Learned {
            id: id.0.to_string(),
            started: s.started,
            cap: s.cap,
            slow_for: now - s.slow_at,
            cut_for: now - s.cut_at,
            skip_for: s.skip_until - now,
            failures: s.failures,
            down: s.down,
            setup: (now - s.setup.0, s.setup.1),
        });
        let endpoints: Vec<_> = learned.collect();
        let groups: Vec<_> = self.sample.0.iter().map(|(group, n)| (*group, *n)).collect();
        let piece = |endpoints: &[Learned], groups: &[(u32, f64)]| LearnedState {
            cold_in: self.next_cold - now,
            hears: self.hears,
            endpoints: endpoints.to_vec(),
            groups: groups.to_vec(),
        };
        let mut pieces: Vec<_> = endpoints.chunks(PIECE).map(|s| piece(s, &[])).collect();
        pieces.extend(groups.chunks(PIECE).map(|g| piece(&[], g)));
        pieces
    }

    /// Takes a piece, after the list.
    pub(crate) fn import_learned_state(&mut self, now: Millis, piece: LearnedState) {
        // No pause is longer than a warm-up: a foreign number must not close cold endpoints for ever.
        let within = self.settings.warm_up_time;
        if piece.cold_in.is_finite() && piece.cold_in <= within {
            self.next_cold = self.next_cold.max(now + piece.cold_in);
        }
        self.hears |= piece.hears;
        for learned in piece.endpoints {
            let Some(s) = self.ledger.endpoints.get_mut(&EndpointId(Arc::from(learned.id.as_str()))) else {
                continue;
            };
            let past = [learned.slow_for, learned.cut_for, learned.setup.0].iter().all(|age| *age >= 0.0);
            let sound = past && learned.cap >= 0.0 && learned.setup.1 >= 0.0 && learned.skip_for <= within;
            if !sound || learned.started < s.started || learned.started > now {
                continue;
            }
            s.started = learned.started;
            (s.cap, s.slow_at, s.cut_at) = (learned.cap, now - learned.slow_for, now - learned.cut_for);
            (s.skip_until, s.failures, s.down) = (now + learned.skip_for, learned.failures, learned.down);
            s.setup = (now - learned.setup.0, learned.setup.1);
        }
        let sizes = piece.groups.into_iter().filter(|(_, n)| n.is_finite() && *n > 0.0);
        self.sample.0.extend(sizes.take(PIECE));
        self.planned_at = f64::NEG_INFINITY;
    }
}
