//! The rules, and what a run has recorded about them.

use std::collections::BTreeMap;

use crate::policy::api::Millis;
use crate::tests::START;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rule {
    /// One final reply, in time, and none after it.
    OneAnswer,
    /// One attempt out, five at the most, none after the reply.
    OneAttempt,
    /// Nothing new to an endpoint a second after the relay learned that it drains or was removed.
    Draining,
    /// All relays together spare a cold endpoint.
    Cold,
    /// Clients are asked to reconnect before their endpoint leaves.
    Migrated,
    /// What is given up is answered in the same call, and a rejection says when to retry.
    GivenUp,
    /// Nothing is recorded of a client that has left, whatever stage its request was in.
    ClientGone,
    /// Once there is capacity everything returns to rest, and new connections are served.
    Rest,
}

/// A broken rule, with what was seen.
#[derive(Debug)]
pub(super) struct Violation {
    pub(super) rule: Rule,
    pub(super) what: String,
}

/// What a run has recorded about the rules.
#[derive(Default)]
pub(super) struct Checks {
    pub(super) violations: Vec<Violation>,
    /// How often each rule could have been broken.
    pub(super) occasions: BTreeMap<Rule, u64>,
}

impl Checks {
    pub(super) fn violation(&mut self, now: Millis, rule: Rule, what: String) {
        let what = format!("{:.0} ms: {what}", now - START);
        self.violations.push(Violation { rule, what });
    }

    /// Records an occasion of a rule, and a violation where it does not hold.
    pub(super) fn check(&mut self, now: Millis, rule: Rule, holds: bool, what: impl FnOnce() -> String) {
        *self.occasions.entry(rule).or_default() += 1;
        if !holds {
            self.violation(now, rule, what());
        }
    }
}
