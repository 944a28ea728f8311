//! The requesting relay's side: the windows that were requested at this relay, their requests and leases.

use super::state::CloseNotice;
use super::{
    Context, Decision, LocalWindow, Message, Outbox, OutgoingMessage, ReplicatedLedger, WindowStatus,
};
use crate::{MAX_LOCAL_WINDOWS, MAX_WAITING_WINDOWS, RefusalReason, WholeMillis, Window, WindowId};

/// How many times the voters are notified that a window is over, since datagrams may be lost.
const CLOSE_NOTICE_SENDS: u32 = 4;
/// How long a window is still listed after it is over, in leases.
const LISTED_AFTER_END_LEASES: WholeMillis = 20;

impl ReplicatedLedger {
    /// Requests a window. The window's id must name this relay and must be new.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::TooManyLocal`] if [`MAX_LOCAL_WINDOWS`] windows are open at this relay.
    pub fn request_window(
        &mut self,
        context: Context<'_>,
        window: Window,
        outbox: &mut Outbox,
    ) -> Result<(), RefusalReason> {
        let open = self.local_windows.values().filter(|local| !local.status.is_over()).count();
        if open >= MAX_LOCAL_WINDOWS {
            return Err(RefusalReason::TooManyLocal);
        }
        let local = LocalWindow {
            window,
            status: WindowStatus::Requested,
            extension_refusal: None,
            next_request_at: context.now,
            status_since: context.now,
        };
        self.local_windows.insert(window.id, local);
        self.retry_pending(context, outbox);
        Ok(())
    }

    /// Requests a later end of a granted window.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::UnknownWindow`] if no such window is open at this relay,
    /// [`RefusalReason::NotGranted`] if the window is not granted now, and [`RefusalReason::TooLong`]
    /// if the extended window would last longer than is allowed.
    pub fn extend_window(
        &mut self,
        context: Context<'_>,
        id: WindowId,
        extension: WholeMillis,
        outbox: &mut Outbox,
    ) -> Result<(), RefusalReason> {
        let local = self.local_windows.get_mut(&id).filter(|local| !local.status.is_over());
        let local = local.ok_or(RefusalReason::UnknownWindow)?;
        let WindowStatus::Granted { end, .. } = local.status else {
            return Err(RefusalReason::NotGranted);
        };
        let max_duration = context.plan.floors.max_window_duration;
        if extension > max_duration || end.saturating_sub(context.now) + extension > max_duration {
            return Err(RefusalReason::TooLong);
        }
        local.window.requested_end = Some(end + extension);
        local.extension_refusal = None;
        local.next_request_at = context.now;
        self.retry_pending(context, outbox);
        Ok(())
    }

    /// Closes a window whose work is done or that is no longer wanted. A window that was requested at another
    /// relay is closed there as well.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::UnknownWindow`] if no such window is open, as far as this relay knows.
    pub fn close_window(
        &mut self,
        context: Context<'_>,
        id: WindowId,
        outbox: &mut Outbox,
    ) -> Result<(), RefusalReason> {
        let is_local = id.relay == self.local_index;
        let is_open_here = self.local_windows.get(&id).is_some_and(|local| !local.status.is_over());
        let is_granted_elsewhere = !is_local && self.granted().iter().any(|entry| entry.id == id);
        if !is_open_here && !is_granted_elsewhere {
            return Err(RefusalReason::UnknownWindow);
        }
        self.finish_window(context.now, id, WindowStatus::Closed);
        if !is_local {
            outbox.push(OutgoingMessage { to: id.relay, message: Message::CloseWindow(id) });
        }
        self.retry_pending(context, outbox);
        Ok(())
    }

    /// Sets the final status of a window, and schedules the notices to the voters.
    pub(super) fn finish_window(&mut self, now: WholeMillis, id: WindowId, status: WindowStatus) {
        if let Some(local) = self.local_windows.get_mut(&id) {
            local.set_status(status, now);
        }
        if self.close_notices.len() < MAX_WAITING_WINDOWS {
            let notice = CloseNotice { remaining_sends: CLOSE_NOTICE_SENDS, next_send_at: now };
            self.close_notices.insert(id, notice);
        }
    }

    /// Sends due requests and close notices to all voters, including this relay if it is a voter.
    pub(super) fn retry_pending(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        let requests = self.take_due_requests(context).into_iter().map(Message::RequestWindow);
        let closed = self.take_due_close_notices(context).into_iter().map(Message::CloseWindow);
        for message in requests.chain(closed) {
            self.send_to_voters(context, &message, |_| true, outbox);
            if context.voters.contains(&self.local_index) {
                self.handle_message(context, self.local_index, message, outbox);
            }
        }
    }

    fn take_due_requests(&mut self, context: Context<'_>) -> Vec<Window> {
        let mut due = Vec::new();
        for local in self.local_windows.values_mut() {
            if local.next_request_at <= context.now && local.needs_request() {
                local.next_request_at = context.now + context.timing.retry_interval;
                due.push(local.window);
            }
        }
        due
    }

    fn take_due_close_notices(&mut self, context: Context<'_>) -> Vec<WindowId> {
        let mut due = Vec::new();
        for (id, notice) in &mut self.close_notices {
            if notice.next_send_at <= context.now {
                notice.remaining_sends = notice.remaining_sends.saturating_sub(1);
                notice.next_send_at = context.now + context.timing.retry_interval;
                due.push(*id);
            }
        }
        self.close_notices.retain(|_, notice| notice.remaining_sends > 0);
        due
    }

    /// Ends granted or lapsed windows that have reached their end, marks windows whose lease has expired as
    /// lapsed, and removes windows that have been over for long enough.
    pub(super) fn expire_local_windows(&mut self, context: Context<'_>) {
        let now = context.now;
        let mut ended = Vec::new();
        for (id, local) in &mut self.local_windows {
            match local.status {
                WindowStatus::Granted { end, .. } | WindowStatus::Lapsed { end } if now >= end => {
                    ended.push(*id);
                }
                WindowStatus::Granted { until, end } if now >= until => {
                    local.set_status(WindowStatus::Lapsed { end }, now);
                    local.next_request_at = now;
                    // The window is requested again with its previous end, not with a new full duration.
                    local.window.requested_end = Some(end);
                }
                _ => {}
            }
        }
        for id in ended {
            self.finish_window(now, id, WindowStatus::Ended);
        }
        let listed = LISTED_AFTER_END_LEASES * context.timing.lease;
        self.local_windows.retain(|_, local| !local.status.is_over() || now < local.status_since + listed);
    }

    /// Applies a decision of the leader to a window that was requested at this relay.
    pub(super) fn handle_decision(&mut self, context: Context<'_>, id: WindowId, decision: Decision) {
        let local = self.local_windows.get_mut(&id).filter(|local| !local.status.is_over());
        let Some(local) = local else {
            return self.close_unknown_window(context, id);
        };
        let status = local.status_after(decision);
        if status != local.status {
            local.set_status(status, context.now);
        }
        self.expire_local_windows(context);
    }

    /// Schedules one close notice for a window that an earlier incarnation of this relay requested, or that
    /// is over. Without the notice, the leader would renew the window's lease until the window's end.
    fn close_unknown_window(&mut self, context: Context<'_>, id: WindowId) {
        if id.relay == self.local_index && self.close_notices.len() < MAX_WAITING_WINDOWS {
            let notice = CloseNotice { remaining_sends: 1, next_send_at: context.now };
            self.close_notices.entry(id).or_insert(notice);
        }
    }
}

impl LocalWindow {
    /// Returns the status that a decision leads to. Stores the reason if an extension is refused.
    fn status_after(&mut self, decision: Decision) -> WindowStatus {
        match (decision, self.status) {
            // A decision that arrives out of order never shortens a lease or a window.
            (
                Decision::Granted { until, end },
                WindowStatus::Granted { until: known_until, end: known_end },
            ) => WindowStatus::Granted { until: until.max(known_until), end: end.max(known_end) },
            (Decision::Granted { until, end }, _) => WindowStatus::Granted { until, end },
            (Decision::Refused(reason), WindowStatus::Granted { .. }) => {
                self.extension_refusal = Some(reason);
                self.window.requested_end = None;
                self.status
            }
            // A granted lease lasts until it expires, and a lapsed window stays lapsed until
            // it is granted again.
            (Decision::Waits { .. }, WindowStatus::Granted { .. } | WindowStatus::Lapsed { .. }) => {
                self.status
            }
            (Decision::Waits { ahead, first }, _) => WindowStatus::Waits { ahead, first },
            (Decision::Refused(reason), _) => WindowStatus::Refused(reason),
        }
    }
}
