//! Who is refused where places are short: connections of members that are over their share, the newest ones, which are
//! those that come.
//!
//! It is fed signs of shortage and a member's use as the ledger knows it; it gives a verdict on one connection that comes.
//! Connections that stand are never touched. Where places are not short everybody is within. A member beyond its rate is
//! admitted at its rate; one beyond its connections once it has fewer. Where more come than are left of its
//! share, before the relays know of each other's, each is admitted by chance: else a burst that comes to all of them
//! would be admitted as often as there are relays.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;
use crate::rate::Rate;
use crate::usage_table::View;

/// Places count as short for so long after the last sign of it: signs come and go with every connection.
const HOLD: Millis = 5000.0;
/// Above this share of attempts that endpoints turn away they are at their bound.
const TURNED_AWAY: f64 = 0.5;
/// What a member may save up of its rate, as a span of it, and in connections at the least.
const SAVED: Millis = 2000.0;
const LEAST_SAVED: f64 = 1.0;

/// Signs that places are short, as they show at this relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScarcitySignals {
    /// The pace window is cut: connections wait for their turn.
    pub window: bool,
    /// Endpoints are at their bound.
    pub endpoints: bool,
    /// Descriptors are nearly used up.
    pub descriptors: bool,
}

/// What becomes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes the ordinary way.
    Within,
    /// It is refused: places are short and its member is over its share.
    Over,
}

/// What is saved up of a member's rate, and whether it was beyond it when last seen.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    saved: f64,
    at: Millis,
    beyond: bool,
    /// Connections that came within the time that others take to know of them, and since when.
    came: u32,
    since: Millis,
}

/// The policy; see the load balancer's text.
#[derive(Clone, Debug)]
pub struct QuotaPolicy {
    short_at: Millis,
    turned_away: f64,
    buckets: Vec<Bucket>,
    refusals: u64,
    drawn: u64,
}

impl QuotaPolicy {
    /// For so many members, with no sign of shortage. The seed is the relay's own.
    pub fn new(members: usize, now: Millis, seed: u64) -> Self {
        let bucket = Bucket { saved: LEAST_SAVED, at: now, beyond: false, came: 0, since: now };
        QuotaPolicy {
            short_at: f64::NEG_INFINITY,
            turned_away: 0.0,
            buckets: vec![bucket; members],
            refusals: 0,
            drawn: seed,
        }
    }

    /// Takes signs of shortage.
    pub fn look(&mut self, now: Millis, signs: ScarcitySignals) {
        if signs != ScarcitySignals::default() {
            self.short_at = now;
        }
    }

    /// A connection was refused for want of a place.
    pub fn refused(&mut self, now: Millis) {
        self.short_at = now;
    }

    /// An endpoint has taken a connection.
    pub fn placed(&mut self) {
        self.turned_away -= self.turned_away / 4.0;
    }

    /// An endpoint has turned a connection away: where most do, they are at their bound.
    pub fn turned_away(&mut self, now: Millis) {
        self.turned_away += (1.0 - self.turned_away) / 4.0;
        if self.turned_away > TURNED_AWAY {
            self.short_at = now;
        }
    }

    /// Whether places are short.
    pub fn is_short(&self, now: Millis) -> bool {
        now - self.short_at < HOLD
    }

    /// Connections refused so far.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    /// What becomes of a connection of the member at this position, which uses so much.
    pub fn ask(&mut self, now: Millis, at: usize, view: &View) -> Verdict {
        // Kept up in calm times too: who was within has saved something when places get short.
        let within_rate = self.within_rate(now, at, view);
        let within = within_rate && self.within_left(now, at, view);
        if within || !self.is_short(now) {
            self.spend(at);
            return Verdict::Within;
        }
        self.refusals += 1;
        Verdict::Over
    }

    /// Whether the member's rate bears one more here. It is beyond from above its share and what chance may add to
    /// it, until it is within its share again; then it has its part of the share by where its connections come.
    fn within_rate(&mut self, now: Millis, at: usize, view: &View) -> bool {
        let (Some(bucket), Some(share)) = (self.buckets.get_mut(at), view.per_s_limit) else { return true };
        let edge = if bucket.beyond { share } else { share + Rate::chance(share) };
        bucket.beyond = view.per_s > edge;
        let part = share * (view.own_per_s / view.per_s.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
        let most = (part * SAVED / 1000.0).max(LEAST_SAVED);
        bucket.saved = (bucket.saved + part * (now - bucket.at).max(0.0) / 1000.0).min(most);
        bucket.at = now;
        !bucket.beyond || bucket.saved >= 1.0
    }

    /// Whether one more is to be had of what is left of the member's share, in a burst of which the other relays don't
    /// know yet: where more come than are left, each is admitted by chance.
    fn within_left(&mut self, now: Millis, at: usize, view: &View) -> bool {
        let Some(bucket) = self.buckets.get_mut(at).filter(|_| view.limit.is_finite()) else { return true };
        if now - bucket.since >= view.lag {
            (bucket.since, bucket.came) = (now, 0);
        }
        // What comes steadily is expected anyhow. More than two at once are of a burst, of which the others have as much
        // and nobody has told yet.
        let burst = f64::from(bucket.came.saturating_sub(1)) * view.relays;
        bucket.came = bucket.came.saturating_add(1);
        self.drawn = xxh3_64_with_seed(&now.to_bits().to_le_bytes(), self.drawn);
        let drawn = (self.drawn >> 11) as f64 / (1u64 << 53) as f64;
        drawn * burst < view.limit - view.expected
    }

    fn spend(&mut self, at: usize) {
        if let Some(bucket) = self.buckets.get_mut(at) {
            bucket.saved = (bucket.saved - 1.0).max(0.0);
        }
    }
}
