//! The leader's decisions: which windows are granted, extended or refused, and the notices of it.
//!
//! A window waits while no leader is elected (a voter that has restarted abstains for one lease), the
//! leader is in its `grant_holdoff`, a write is pending, the leader's list is older than `list_max_age`,
//! its `not_before` is not reached, the ledger holds `MAX_GRANTED_WINDOWS`, the limit of windows, of relays
//! or a floor would be violated, or it may not overtake the first blocked window (`queue`).

use super::state::{Role, WaitingWindow};
use super::{Context, Decision, Message, Outbox, OutgoingMessage, ReplicatedLedger};
use crate::queue::{Selection, select};
use crate::{GrantedWindow, RefusalReason, WholeMillis, Window, WindowId};

impl ReplicatedLedger {
    /// Adds the windows whose turn it is to the next ledger. They are granted once that is committed.
    pub(super) fn grant_waiting(&mut self, cx: Context<'_>) {
        let Role::Leader(leader) = &mut self.role else { return };
        // A new leader first learns who waits, so that nobody is overtaken.
        let may_grant = cx.now >= leader.elected_at + cx.timing.grant_holdoff;
        if !may_grant || !cx.plan.is_fresh(cx.now, cx.timing) {
            return;
        }
        // A window that this relay knew as waiting before it was elected may be granted in the
        // ledger it took over.
        self.waiting.retain(|id, _| !leader.next.iter().any(|entry| entry.id == *id));
        let waiting = self.waiting.values().map(|waiting| waiting.window);
        let selection = select(cx.now, cx.timing, cx.plan, &leader.next, waiting);
        for entry in selection.granted {
            self.waiting.remove(&entry.id);
            leader.next.push(entry);
        }
    }

    /// Decides a request: extends the window, refuses it or has it wait, and notifies its relay.
    pub(super) fn decide_request(
        &mut self,
        cx: Context<'_>,
        window: Window,
        is_full: bool,
        out: &mut Outbox,
    ) {
        let Role::Leader(leader) = &self.role else { return };
        if leader.next.iter().any(|entry| entry.id == window.id) {
            self.decide_extension(cx, window, out);
        } else if let Some(refused) = refusal(cx, &window, is_full) {
            self.waiting.remove(&window.id);
            self.notify(cx, window.id, Decision::Refused(refused), out);
        } else {
            self.enqueue(cx, window, out);
        }
    }

    fn enqueue(&mut self, cx: Context<'_>, window: Window, out: &mut Outbox) {
        self.waiting.insert(window.id, WaitingWindow { window, requested_at: cx.now });
        let first = self.select_next(cx).first_blocked.map(|blocked| blocked.id);
        let ahead = self.waiting.keys().take_while(|other| **other < window.id).count() as u32;
        self.notify(cx, window.id, Decision::Waits { ahead, first }, out);
    }

    /// Changes the end of a window in the next ledger where a later one is requested and may be.
    fn decide_extension(&mut self, cx: Context<'_>, window: Window, out: &mut Outbox) {
        match self.extended_end(cx, &window) {
            Err(refused) => return self.notify(cx, window.id, Decision::Refused(refused), out),
            Ok(None) => {}
            Ok(Some(end)) => self.set_end(window.id, end),
        }
        self.notify_grant(cx, window.id, out);
    }

    fn set_end(&mut self, id: WindowId, end: WholeMillis) {
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(entry) = leader.next.iter_mut().find(|entry| entry.id == id) {
            entry.end = end;
        }
    }

    /// The later end that a granted window may have; `None` where none is requested.
    fn extended_end(&self, cx: Context<'_>, window: &Window) -> Result<Option<WholeMillis>, RefusalReason> {
        let entry = self.next_entries().iter().find(|entry| entry.id == window.id);
        let Some(entry) = entry else { return Ok(None) };
        let Some(end) = window.requested_end.filter(|end| *end > entry.end) else { return Ok(None) };
        if end.saturating_sub(cx.now) > cx.plan.floors.max_window_duration {
            return Err(RefusalReason::TooLong);
        }
        match self.select_next(cx).first_blocked {
            // A waiting window is not pushed back by a longer one.
            Some(blocked) if end + cx.timing.clock_skew_bound > blocked.fits_at => {
                Err(RefusalReason::BlocksWaiting(blocked.id))
            }
            _ => Ok(Some(end)),
        }
    }

    fn select_next(&self, cx: Context<'_>) -> Selection {
        let waiting = self.waiting.values().map(|waiting| waiting.window);
        select(cx.now, cx.timing, cx.plan, self.next_entries(), waiting)
    }

    /// The ledger that this relay is going to write next as leader.
    fn next_entries(&self) -> &[GrantedWindow] {
        if let Role::Leader(leader) = &self.role { &leader.next } else { &[] }
    }

    /// Notifies the relay of a window that is granted by a committed ledger until when its lease lasts.
    pub(super) fn notify_grant(&mut self, cx: Context<'_>, id: WindowId, out: &mut Outbox) {
        let Role::Leader(leader) = &self.role else { return };
        // Nothing is granted by a write that a majority has not acknowledged.
        let (Some(committed_at), None) = (leader.committed_at, &leader.pending) else { return };
        let Some(entry) = leader.written.iter().find(|entry| entry.id == id) else { return };
        // The relay's clock may be behind by the clock skew bound: the lease ends earlier by as much.
        let lease = cx.timing.lease.saturating_sub(cx.timing.clock_skew_bound);
        let end = entry.end;
        let until = (committed_at + lease).min(end);
        self.notify(cx, id, Decision::Granted { until, end }, out);
    }

    /// Sends a decision to the relay of a window, or applies it where that is this one.
    fn notify(&mut self, cx: Context<'_>, id: WindowId, decision: Decision, out: &mut Outbox) {
        if id.relay == self.local_index {
            self.handle_decision(cx, id, decision);
        } else {
            out.push(OutgoingMessage { to: id.relay, message: Message::Decision { id, decision } });
        }
    }
}

/// Why a window that is not granted yet cannot even wait.
fn refusal(cx: Context<'_>, window: &Window, is_full: bool) -> Option<RefusalReason> {
    let duration = window.requested_end.map_or(window.duration, |end| end.saturating_sub(cx.now));
    // An old list does not show what exists, so that nothing is refused for good by it.
    let is_fresh = cx.plan.is_fresh(cx.now, cx.timing);
    let permanent =
        is_fresh.then(|| cx.plan.permanent_refusal(window.scope, duration, window.overrides_floor)).flatten();
    permanent.or(is_full.then_some(RefusalReason::TooManyWaiting))
}
