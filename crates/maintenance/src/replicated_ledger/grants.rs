//! The leader's decisions: which windows are granted, extended or refused, and the notices to their relays.
//!
//! A window waits while any of these holds:
//!
//! - No leader is elected. A restarted voter abstains for one lease.
//! - The leader is in its `grant_holdoff`, or has a pending write.
//! - The leader's endpoint list is older than `list_max_age`.
//! - The window's `not_before` is not reached.
//! - The ledger holds `MAX_GRANTED_WINDOWS` windows.
//! - The window would violate the limit of windows, the minimum number of relays, or a capacity floor.
//! - The window may not overtake the first blocked window (`queue`).

use super::state::{Role, WaitingWindow};
use super::{Context, Decision, Message, Outbox, OutgoingMessage, ReplicatedLedger};
use crate::queue::{Selection, select};
use crate::{GrantedWindow, RefusalReason, WholeMillis, Window, WindowId};

impl ReplicatedLedger {
    /// Moves the waiting windows that may be granted now to the next ledger. They are granted once that
    /// ledger is committed.
    pub(super) fn grant_waiting(&mut self, context: Context<'_>) {
        let Role::Leader(leader) = &mut self.role else { return };
        // A new leader first collects the repeated requests, so that no earlier window is overtaken.
        let may_grant = context.now >= leader.elected_at + context.timing.grant_holdoff;
        if !may_grant || !context.plan.is_fresh(context.now, context.timing) {
            return;
        }
        // A window that this relay knew as waiting before its election may already be granted in the
        // ledger that it took over.
        self.waiting.retain(|id, _| !leader.next.iter().any(|entry| entry.id == *id));
        let waiting = self.waiting.values().map(|waiting| waiting.window);
        let selection = select(context.now, context.timing, context.plan, &leader.next, waiting);
        for entry in selection.granted {
            self.waiting.remove(&entry.id);
            leader.next.push(entry);
        }
    }

    /// Decides a window request: extends the window, refuses it or makes it wait, and notifies its relay.
    pub(super) fn decide_request(
        &mut self,
        context: Context<'_>,
        window: Window,
        is_full: bool,
        outbox: &mut Outbox,
    ) {
        let Role::Leader(leader) = &self.role else { return };
        if leader.next.iter().any(|entry| entry.id == window.id) {
            self.decide_extension(context, window, outbox);
        } else if let Some(reason) = refusal(context, &window, is_full) {
            self.waiting.remove(&window.id);
            self.notify(context, window.id, Decision::Refused(reason), outbox);
        } else {
            self.enqueue(context, window, outbox);
        }
    }

    fn enqueue(&mut self, context: Context<'_>, window: Window, outbox: &mut Outbox) {
        self.waiting.insert(window.id, WaitingWindow { window, requested_at: context.now });
        let first = self.select_next(context).first_blocked.map(|blocked| blocked.id);
        let ahead = self.waiting.keys().take_while(|other| **other < window.id).count() as u32;
        self.notify(context, window.id, Decision::Waits { ahead, first }, outbox);
    }

    /// Moves the end of a granted window in the next ledger if a later end is requested and permitted, and
    /// notifies the window's relay.
    fn decide_extension(&mut self, context: Context<'_>, window: Window, outbox: &mut Outbox) {
        match self.extended_end(context, &window) {
            Err(reason) => return self.notify(context, window.id, Decision::Refused(reason), outbox),
            Ok(None) => {}
            Ok(Some(end)) => self.set_end(window.id, end),
        }
        self.notify_grant(context, window.id, outbox);
    }

    fn set_end(&mut self, id: WindowId, end: WholeMillis) {
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(entry) = leader.next.iter_mut().find(|entry| entry.id == id) {
            entry.end = end;
        }
    }

    /// Returns the requested end of a granted window if it is later than the current end, or the reason why
    /// the requested end is refused.
    fn extended_end(
        &self,
        context: Context<'_>,
        window: &Window,
    ) -> Result<Option<WholeMillis>, RefusalReason> {
        let entry = self.next_entries().iter().find(|entry| entry.id == window.id);
        let Some(entry) = entry else { return Ok(None) };
        let Some(end) = window.requested_end.filter(|end| *end > entry.end) else { return Ok(None) };
        if end.saturating_sub(context.now) > context.plan.floors.max_window_duration {
            return Err(RefusalReason::TooLong);
        }
        match self.select_next(context).first_blocked {
            // An extension may not delay the first blocked window.
            Some(blocked) if end + context.timing.clock_skew_bound > blocked.fits_at => {
                Err(RefusalReason::BlocksWaiting(blocked.id))
            }
            _ => Ok(Some(end)),
        }
    }

    fn select_next(&self, context: Context<'_>) -> Selection {
        let waiting = self.waiting.values().map(|waiting| waiting.window);
        select(context.now, context.timing, context.plan, self.next_entries(), waiting)
    }

    /// Returns the entries that this relay writes next as leader; none if it is not the leader.
    fn next_entries(&self) -> &[GrantedWindow] {
        if let Role::Leader(leader) = &self.role { &leader.next } else { &[] }
    }

    /// Notifies a window's relay of the expiry of its lease, if a committed ledger grants the window.
    pub(super) fn notify_grant(&mut self, context: Context<'_>, id: WindowId, outbox: &mut Outbox) {
        let Role::Leader(leader) = &self.role else { return };
        // A write that a majority has not acknowledged grants nothing.
        let (Some(committed_at), None) = (leader.committed_at, &leader.pending) else { return };
        let Some(entry) = leader.written.iter().find(|entry| entry.id == id) else { return };
        // The relay's clock may be behind by the clock skew bound, so its lease ends earlier by this bound.
        let lease = context.timing.lease.saturating_sub(context.timing.clock_skew_bound);
        let end = entry.end;
        let until = (committed_at + lease).min(end);
        self.notify(context, id, Decision::Granted { until, end }, outbox);
    }

    /// Sends a decision to the relay of a window, or applies the decision directly if that is this relay.
    fn notify(&mut self, context: Context<'_>, id: WindowId, decision: Decision, outbox: &mut Outbox) {
        if id.relay == self.local_index {
            self.handle_decision(context, id, decision);
        } else {
            outbox.push(OutgoingMessage { to: id.relay, message: Message::Decision { id, decision } });
        }
    }
}

/// Returns why a window that is not granted yet may not wait either, if there is a reason.
fn refusal(context: Context<'_>, window: &Window, is_full: bool) -> Option<RefusalReason> {
    let duration = window.requested_end.map_or(window.duration, |end| end.saturating_sub(context.now));
    // An outdated endpoint list may lack what exists by now, so it is not used for permanent refusals.
    let is_fresh = context.plan.is_fresh(context.now, context.timing);
    let permanent = is_fresh
        .then(|| context.plan.permanent_refusal(window.scope, duration, window.overrides_floor))
        .flatten();
    permanent.or(is_full.then_some(RefusalReason::TooManyWaiting))
}
