//! The reasons why a call about windows is refused, with help texts for operators.

use std::num::ParseIntError;

use thiserror::Error;

use crate::{MAX_LOCAL_WINDOWS, WindowId};

/// Why a text is not a valid [`WindowId`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseWindowIdError {
    /// The relay's number and the time of the request are not separated by a dot.
    #[error("a window id has a dot between the relay's number and the time of the request")]
    NoSeparator,
    /// The part before the dot is not a relay's number.
    #[error("a window id starts with a relay's number")]
    Relay(#[source] ParseIntError),
    /// The part after the dot is not a base-36 number.
    #[error("a window id ends with the time of the request, in digits and lower-case letters")]
    RequestedAt,
}

/// Why a call about windows was not carried out. The messages are sent to operators in replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error)]
pub enum RefusalReason {
    /// The call is malformed.
    #[error("a window is asked for as: window hall NAME all|SIZE SECONDS, window streamer NAME SECONDS")]
    Syntax,
    /// The window would last longer than is allowed, or its duration is zero.
    #[error("longer than the longest window")]
    TooLong,
    /// Draining the scope would violate a capacity floor even if everything else were available.
    #[error("the floor could not be kept even with nothing else drained")]
    FloorUnreachable,
    /// The endpoint list has no such zone.
    #[error("no such hall in the list")]
    UnknownZone,
    /// The endpoint list has no such endpoint.
    #[error("no such streamer in the list")]
    UnknownEndpoint,
    /// The cluster has no such relay.
    #[error("no such relay in the tier")]
    UnknownRelay,
    /// The operator named in the call may not override the capacity floors.
    #[error("this name may not override the floor")]
    OverrideNotPermitted,
    /// No window with that id is open, as far as this relay knows.
    #[error("no window of that name is open here")]
    UnknownWindow,
    /// The window is not granted now, so it cannot be extended.
    #[error("the window is not granted now")]
    NotGranted,
    /// Too many windows are open at this relay.
    #[error("{MAX_LOCAL_WINDOWS} windows are open at this relay")]
    TooManyLocal,
    /// Too many windows wait in the cluster.
    #[error("too many windows wait in the tier")]
    TooManyWaiting,
    /// The extension would delay the window named here, which waits.
    #[error("window {0} waits for it")]
    BlocksWaiting(WindowId),
}

impl RefusalReason {
    /// Every reason, in the order of the codes that datagrams carry.
    pub const ALL: [RefusalReason; 12] = [
        RefusalReason::Syntax,
        RefusalReason::TooLong,
        RefusalReason::FloorUnreachable,
        RefusalReason::UnknownZone,
        RefusalReason::UnknownEndpoint,
        RefusalReason::UnknownRelay,
        RefusalReason::OverrideNotPermitted,
        RefusalReason::UnknownWindow,
        RefusalReason::NotGranted,
        RefusalReason::TooManyLocal,
        RefusalReason::TooManyWaiting,
        RefusalReason::BlocksWaiting(WindowId { requested_at: 0, relay: 0 }),
    ];

    /// What an operator can do about the refusal, for the reply to a call.
    ///
    /// ```
    /// use sandgw_maintenance::RefusalReason;
    /// assert!(RefusalReason::ALL.iter().all(|reason| !reason.help().is_empty()));
    /// ```
    pub fn help(self) -> &'static str {
        match self {
            RefusalReason::Syntax => "or window relay N SECONDS; then [in SECONDS] [by NAME]",
            RefusalReason::TooLong => "ask for less, or raise maintenance.longest_s at every relay",
            RefusalReason::FloorUnreachable => {
                "ask for a part of it, or lower maintenance.floor at every relay"
            }
            RefusalReason::UnknownZone => {
                "halls are named as in the list's locality; look for a slip, or wait for the list"
            }
            RefusalReason::UnknownEndpoint => {
                "streamers are named by the list's id; look for a slip, or wait for the list"
            }
            RefusalReason::UnknownRelay => "relays are numbered from 0, as in peers",
            RefusalReason::OverrideNotPermitted => "ask one of those in maintenance.override",
            RefusalReason::UnknownWindow => "look with windows; call at the relay where it was asked for",
            RefusalReason::NotGranted => "wait for it, or cancel it and ask for more",
            RefusalReason::TooManyLocal => "cancel some, or ask at another relay",
            RefusalReason::TooManyWaiting => "ask again once some are through",
            RefusalReason::BlocksWaiting(_) => "end on time and ask again, or have the other cancelled",
        }
    }
}
