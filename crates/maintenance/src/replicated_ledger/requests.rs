//! The requesting side: windows that were requested at this relay, their requests and leases.

use super::state::CloseNotice;
use super::{
    Context, Decision, LocalWindow, Message, Outbox, OutgoingMessage, ReplicatedLedger, WindowStatus,
};
use crate::{MAX_LOCAL_WINDOWS, MAX_WAITING_WINDOWS, RefusalReason, WholeMillis, Window, WindowId};

/// How many times the voters are notified that a window is over, as datagrams may be lost.
const CLOSE_NOTICE_SENDS: u32 = 4;
/// How long a window that is over is still listed, in leases.
const LISTED_AFTER_END_LEASES: WholeMillis = 20;

impl ReplicatedLedger {
    /// Requests a window, whose id is of this relay and new.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::TooManyLocal`] where [`MAX_LOCAL_WINDOWS`] are open at this relay.
    pub fn request_window(
        &mut self,
        cx: Context<'_>,
        window: Window,
        out: &mut Outbox,
    ) -> Result<(), RefusalReason> {
        let open = self.local_windows.values().filter(|local| !local.status.is_over()).count();
        if open >= MAX_LOCAL_WINDOWS {
            return Err(RefusalReason::TooManyLocal);
        }
        let local = LocalWindow {
            window,
            status: WindowStatus::Requested,
            extension_refused: None,
            next_request_at: cx.now,
            status_since: cx.now,
        };
        self.local_windows.insert(window.id, local);
        self.retry_pending(cx, out);
        Ok(())
    }

    /// Requests a later end of a window that is granted.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::UnknownWindow`] where no such window is open here,
    /// [`RefusalReason::NotGranted`] where it is not granted now, and [`RefusalReason::TooLong`]
    /// where it would last longer than is allowed.
    pub fn extend_window(
        &mut self,
        cx: Context<'_>,
        id: WindowId,
        extension: WholeMillis,
        out: &mut Outbox,
    ) -> Result<(), RefusalReason> {
        let local = self.local_windows.get_mut(&id).filter(|local| !local.status.is_over());
        let local = local.ok_or(RefusalReason::UnknownWindow)?;
        let WindowStatus::Granted { end, .. } = local.status else {
            return Err(RefusalReason::NotGranted);
        };
        let max_duration = cx.plan.floors.max_window_duration;
        if extension > max_duration || end.saturating_sub(cx.now) + extension > max_duration {
            return Err(RefusalReason::TooLong);
        }
        local.window.requested_end = Some(end + extension);
        local.extension_refused = None;
        local.next_request_at = cx.now;
        self.retry_pending(cx, out);
        Ok(())
    }

    /// Closes a window that is done, or not wanted any more. A window of another relay is closed
    /// there as well.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::UnknownWindow`] where no such window is open, as far as this relay knows.
    pub fn close_window(
        &mut self,
        cx: Context<'_>,
        id: WindowId,
        out: &mut Outbox,
    ) -> Result<(), RefusalReason> {
        let is_local = id.relay == self.local_index;
        let is_open_here = self.local_windows.get(&id).is_some_and(|local| !local.status.is_over());
        let is_granted_elsewhere = !is_local && self.granted().iter().any(|entry| entry.id == id);
        if !is_open_here && !is_granted_elsewhere {
            return Err(RefusalReason::UnknownWindow);
        }
        self.finish_window(cx.now, id, WindowStatus::Closed);
        if !is_local {
            out.push(OutgoingMessage { to: id.relay, message: Message::CloseWindow(id) });
        }
        self.retry_pending(cx, out);
        Ok(())
    }

    /// Gives a window a final status, of which the voters are notified.
    pub(super) fn finish_window(&mut self, now: WholeMillis, id: WindowId, status: WindowStatus) {
        if let Some(local) = self.local_windows.get_mut(&id) {
            local.set_status(status, now);
        }
        if self.close_notices.len() < MAX_WAITING_WINDOWS {
            let notice = CloseNotice { remaining_sends: CLOSE_NOTICE_SENDS, next_send_at: now };
            self.close_notices.insert(id, notice);
        }
    }

    /// Sends the requests and close notices that are due to all voters, this relay included where it is one.
    pub(super) fn retry_pending(&mut self, cx: Context<'_>, out: &mut Outbox) {
        let requests = self.take_due_requests(cx).into_iter().map(Message::RequestWindow);
        let closed = self.take_due_close_notices(cx).into_iter().map(Message::CloseWindow);
        for message in requests.chain(closed) {
            self.send_to_voters(cx, &message, |_| true, out);
            if cx.voters.contains(&self.local_index) {
                self.handle_message(cx, self.local_index, message, out);
            }
        }
    }

    fn take_due_requests(&mut self, cx: Context<'_>) -> Vec<Window> {
        let mut due = Vec::new();
        for local in self.local_windows.values_mut() {
            if local.next_request_at <= cx.now && local.needs_request() {
                local.next_request_at = cx.now + cx.timing.retry_interval;
                due.push(local.window);
            }
        }
        due
    }

    fn take_due_close_notices(&mut self, cx: Context<'_>) -> Vec<WindowId> {
        let mut due = Vec::new();
        for (id, notice) in &mut self.close_notices {
            if notice.next_send_at <= cx.now {
                notice.remaining_sends = notice.remaining_sends.saturating_sub(1);
                notice.next_send_at = cx.now + cx.timing.retry_interval;
                due.push(*id);
            }
        }
        self.close_notices.retain(|_, notice| notice.remaining_sends > 0);
        due
    }

    /// Ends windows that have come to their end, and lapses those whose lease has expired.
    pub(super) fn expire_local_windows(&mut self, cx: Context<'_>) {
        let now = cx.now;
        let mut ended = Vec::new();
        for (id, local) in &mut self.local_windows {
            match local.status {
                WindowStatus::Granted { end, .. } | WindowStatus::Lapsed { end } if now >= end => {
                    ended.push(*id);
                }
                WindowStatus::Granted { until, end } if now >= until => {
                    local.set_status(WindowStatus::Lapsed { end }, now);
                    local.next_request_at = now;
                    // It is requested again with the end it had, not with a whole new duration.
                    local.window.requested_end = Some(end);
                }
                _ => {}
            }
        }
        for id in ended {
            self.finish_window(now, id, WindowStatus::Ended);
        }
        let listed = LISTED_AFTER_END_LEASES * cx.timing.lease;
        self.local_windows.retain(|_, local| !local.status.is_over() || now < local.status_since + listed);
    }

    /// Applies a decision of the leader to a window that was requested here.
    pub(super) fn handle_decision(&mut self, cx: Context<'_>, id: WindowId, decision: Decision) {
        let local = self.local_windows.get_mut(&id).filter(|local| !local.status.is_over());
        let Some(local) = local else {
            return self.close_unknown_window(cx, id);
        };
        let status = local.status_after(decision);
        if status != local.status {
            local.set_status(status, cx.now);
        }
        self.expire_local_windows(cx);
    }

    /// Notifies the voters once of a window that an earlier incarnation requested, or that is over:
    /// the leader would renew it until its end.
    fn close_unknown_window(&mut self, cx: Context<'_>, id: WindowId) {
        if id.relay == self.local_index && self.close_notices.len() < MAX_WAITING_WINDOWS {
            let notice = CloseNotice { remaining_sends: 1, next_send_at: cx.now };
            self.close_notices.entry(id).or_insert(notice);
        }
    }
}

impl LocalWindow {
    /// The status that a decision leads to. The reason of a refused extension is stored.
    fn status_after(&mut self, decision: Decision) -> WindowStatus {
        match (decision, self.status) {
            // A reordered notice never shortens a lease or a window.
            (
                Decision::Granted { until, end },
                WindowStatus::Granted { until: known_until, end: known_end },
            ) => WindowStatus::Granted { until: until.max(known_until), end: end.max(known_end) },
            (Decision::Granted { until, end }, _) => WindowStatus::Granted { until, end },
            (Decision::Refused(refused), WindowStatus::Granted { .. }) => {
                self.extension_refused = Some(refused);
                self.window.requested_end = None;
                self.status
            }
            // A lease that was granted lasts until it expires, and a lapsed window stays so until
            // it is granted again.
            (Decision::Waits { .. }, WindowStatus::Granted { .. } | WindowStatus::Lapsed { .. }) => {
                self.status
            }
            (Decision::Waits { ahead, first }, _) => WindowStatus::Waits { ahead, first },
            (Decision::Refused(refused), _) => WindowStatus::Refused(refused),
        }
    }
}
