//! Why a window is not granted, and what an operator can do.

use thiserror::Error;

use crate::{MOST_OWN, WindowId};

/// Why a call about windows was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error)]
pub enum Refused {
    /// The call is not of a known form.
    #[error("a window is asked for as: window hall NAME all|SIZE SECONDS, window streamer NAME SECONDS")]
    SchemaVersion,
    /// It would last longer than is allowed.
    #[error("longer than the longest window")]
    TooLong,
    /// It would break the floor though nothing else were drained or down.
    #[error("the floor could not be kept even with nothing else drained")]
    Never,
    /// The list has no such zone.
    #[error("no such hall in the list")]
    NoZone,
    /// The list has no such endpoint.
    #[error("no such streamer in the list")]
    NoEndpoint,
    /// The tier has no such relay.
    #[error("no such relay in the tier")]
    NoRelay,
    /// Who asked for it to be put over the floor may not.
    #[error("this name may not override the floor")]
    MayNot,
    /// No window of that name is known here.
    #[error("no window of that name is open here")]
    NoWindow,
    /// The window is not granted, so that there is nothing to extend.
    #[error("the window is not granted now")]
    NotGranted,
    /// Too many windows were asked for here.
    #[error("{MOST_OWN} windows are open at this relay")]
    TooMany,
    /// Too many windows wait in the tier.
    #[error("too many windows wait in the tier")]
    Crowded,
    /// Another waits for what a longer window would keep.
    #[error("window {0} waits for it")]
    Awaited(WindowId),
}

impl Refused {
    /// One of each.
    pub const ALL: [Refused; 12] = [
        Refused::SchemaVersion,
        Refused::TooLong,
        Refused::Never,
        Refused::NoZone,
        Refused::NoEndpoint,
        Refused::NoRelay,
        Refused::MayNot,
        Refused::NoWindow,
        Refused::NotGranted,
        Refused::TooMany,
        Refused::Crowded,
        Refused::Awaited(WindowId { asked: 0, relay: 0 }),
    ];

    /// What an operator can do about it.
    ///
    /// ```
    /// use sandgw_maintenance::Refused;
    /// assert!(Refused::ALL.iter().all(|refused| !refused.help().is_empty()));
    /// ```
    pub fn help(self) -> &'static str {
        match self {
            Refused::SchemaVersion => "or window relay N SECONDS; then [in SECONDS] [by NAME]",
            Refused::TooLong => "ask for less, or raise maintenance.longest_s at every relay",
            Refused::Never => "ask for a part of it, or lower maintenance.floor at every relay",
            Refused::NoZone => {
                "halls are named as in the list's locality; look for a slip, or wait for the list"
            }
            Refused::NoEndpoint => {
                "streamers are named by the list's id; look for a slip, or wait for the list"
            }
            Refused::NoRelay => "relays are numbered from 0, as in peers",
            Refused::MayNot => "ask one of those in maintenance.override",
            Refused::NoWindow => "look with windows; call at the relay where it was asked for",
            Refused::NotGranted => "wait for it, or cancel it and ask for more",
            Refused::TooMany => "cancel some, or ask at another relay",
            Refused::Crowded => "ask again once some are through",
            Refused::Awaited(_) => "end on time and ask again, or have the other cancelled",
        }
    }
}
