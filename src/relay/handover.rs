//! How one process passes a relay to the next: the messages, and each side's steps. No socket: a driver sends what it
//! is told to, and says what it has heard and when the other side is gone.
//!
//! One of the two accepts and places at any time. The old one ([`PredecessorProcess`]) stops before it yields and takes accepting
//! back only while the new one can't have begun; the new one ([`Successor`]) begins only once it is told that the
//! relay is its own.

use std::fmt;

use bytes::{Buf, BytesMut};
use sandgw_affinity::Record;
use serde::{Deserialize, Serialize};

use crate::listener::TransferredProtocol;
use crate::policy::api::Millis;
use crate::policy::learned_state::LearnedState;
use crate::relay::transfer::TransferredConnection;

/// The first form of the messages, which every process speaks. Two processes hand over in the newest that both read.
pub const FORM: u32 = 1;
/// What a process says that does not speak the form it was asked in.
pub const ANOTHER_FORM: &str = "it speaks another form";
/// Longest message. Pieces are far shorter.
const MOST_BYTES: usize = 256 * 1024;
/// Entries of the tables in one piece.
pub const RECORDS: usize = 512;
/// Entries of the list in one piece.
pub const MEMBERS: usize = 64;
/// Most sockets that are passed.
pub const SOCKETS: usize = 8;
/// Standing connections that are told to pass at a time.
pub const CONNECTIONS: usize = 64;
/// How long the old process waits for a new one's first word, until it has all, and for its claim.
const FIRST_WORD: Millis = 1000.0;
const ABSORBED: Millis = 10_000.0;
const CLAIMED: Millis = 1000.0;
/// How long the new process waits for each step of the old one.
const STEP: Millis = 2000.0;

/// What the two tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The new process is there, of the relay of this name.
    Hello {
        /// The newest form of messages that it speaks.
        form: u32,
        /// The relay's name.
        name: String,
    },
    /// It can't be handed over now.
    Refused(String),
    /// A part of the list of endpoints, in discovery's form.
    List {
        /// Where it is from.
        discovery: String,
        /// Its version, where it is known.
        revision: Option<u64>,
        /// Entries.
        members: Vec<String>,
    },
    /// Entries of clients and groups.
    Records(Vec<Record>),
    /// What the load balancer has learned.
    LearnedState(LearnedState),
    /// Sockets, by their keys and addresses; the descriptors come beside it in this order.
    Sockets(Vec<String>),
    /// That was all.
    Whole,
    /// The new process has all.
    Take,
    /// The old process has stopped accepting.
    Yield {
        /// Descriptors that it holds.
        descriptors: u32,
        /// How long it has been on standby, if it is.
        standby: Option<Millis>,
        /// How long from now no new connection may go to a cold endpoint.
        cold_in: Millis,
    },
    /// The new process is ready to accept.
    Claim,
    /// It may: the old process never accepts again while the new one lives.
    Yours,
    /// A standing connection; its client's and its endpoint's descriptors come beside it.
    Connection {
        /// As the core has it.
        connection: Box<TransferredConnection>,
        /// As its front has it.
        protocol: Box<TransferredProtocol>,
        /// Bytes on their way to the endpoint.
        up: Vec<u8>,
        /// Bytes on their way to the client.
        down: Vec<u8>,
    },
    /// Descriptors that the old process holds now.
    Held {
        /// How many.
        descriptors: u32,
    },
    /// From form 2 on, before anything else: the form that both speak, and what is known of the tier's.
    Forms {
        /// The form of what follows.
        form: u32,
        /// How long the old process has listened for older ones.
        listened: Millis,
        /// Its word.
        word: String,
    },
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(ANOTHER_FORM)
    }
}

/// Writes a message with its length.
pub fn encode(message: &Message) -> Vec<u8> {
    // It fails for want of memory only.
    let body = postcard::to_allocvec(message).unwrap_or_default();
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&body);
    frame
}

/// Reads messages as their bytes come in.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: BytesMut,
}

impl Frames {
    /// Takes more bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// How many bytes have come of messages that are not whole.
    pub fn rest(&self) -> usize {
        self.bytes.len()
    }

    /// The next whole message, if it has come.
    pub fn message(&mut self) -> Result<Option<Message>, Malformed> {
        let Some(head) = self.bytes.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MOST_BYTES {
            return Err(Malformed);
        }
        if self.bytes.len() < 4 + length {
            return Ok(None);
        }
        self.bytes.advance(4);
        let body = self.bytes.split_to(length);
        postcard::from_bytes(&body).map(Some).map_err(|_| Malformed)
    }
}

/// The form in which to hand over to who says this, for a process that speaks up to `newest`.
pub fn agreed(hello: &Message, newest: u32) -> u32 {
    match hello {
        Message::Hello { form, .. } => newest.min(*form),
        _ => FORM,
    }
}

/// What the old process does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElderStep {
    /// Send all that it has, then [`Message::Whole`].
    Snapshot,
    /// Stop accepting, then send what has changed and [`Message::Yield`].
    Yield,
    /// Send [`Message::Yours`]; nothing is accepted here from now on.
    HandOver,
    /// Send why not, and close.
    Refuse(&'static str),
}

/// The old process's side of one hand-over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PredecessorProcess {
    /// Somebody has come who has not said what he is.
    #[default]
    Asked,
    /// He is being told all.
    Told,
    /// Accepting has stopped, and he has not claimed the relay.
    Yielded,
    /// The relay is his.
    HandedOver,
}

impl PredecessorProcess {
    /// Takes what the new process says to the relay of this name.
    pub fn hears(&mut self, message: &Message, name: &str) -> ElderStep {
        let (next, step) = match (*self, message) {
            (PredecessorProcess::Asked, Message::Hello { form, .. }) if *form < FORM => {
                return ElderStep::Refuse(ANOTHER_FORM);
            }
            (PredecessorProcess::Asked, Message::Hello { name: other, .. }) if other != name => {
                return ElderStep::Refuse("it is another relay");
            }
            (PredecessorProcess::Asked, Message::Hello { .. }) => {
                (PredecessorProcess::Told, ElderStep::Snapshot)
            }
            (PredecessorProcess::Told, Message::Take) => (PredecessorProcess::Yielded, ElderStep::Yield),
            (PredecessorProcess::Yielded, Message::Claim) => {
                (PredecessorProcess::HandedOver, ElderStep::HandOver)
            }
            _ => return ElderStep::Refuse("out of turn"),
        };
        *self = next;
        step
    }

    /// How long the next word may take.
    pub fn patience(self) -> Option<Millis> {
        match self {
            PredecessorProcess::Asked => Some(FIRST_WORD),
            PredecessorProcess::Told => Some(ABSORBED),
            PredecessorProcess::Yielded => Some(CLAIMED),
            PredecessorProcess::HandedOver => None,
        }
    }

    /// The new process is gone, or has been given up: whether this one is to accept again. Where it was told to end
    /// it finishes what it has, unless the relay was still its own.
    pub fn takes_back(self, terminated: bool) -> bool {
        match self {
            PredecessorProcess::Asked | PredecessorProcess::Told => false,
            PredecessorProcess::Yielded => true,
            PredecessorProcess::HandedOver => !terminated,
        }
    }
}

/// What the new process does next.
#[derive(Clone, Debug, PartialEq)]
pub enum SuccessorStep {
    /// Take in what has come.
    Absorb,
    /// It has all: send [`Message::Take`].
    Take,
    /// Take in what has come, make ready, and send [`Message::Claim`].
    Claim,
    /// Accept.
    Serve,
    /// Give up.
    Fail(String),
}

/// The new process's side of one hand-over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Successor {
    /// It has said what it is, and is being told all.
    #[default]
    Asking,
    /// It has asked for the relay.
    Taking,
    /// It has claimed it.
    Claiming,
    /// It accepts.
    Owner,
}

impl Successor {
    /// Takes what the old process says.
    pub fn hears(&mut self, message: &Message) -> SuccessorStep {
        use Message::*;
        let (next, step) = match (*self, message) {
            (_, Refused(why)) => return SuccessorStep::Fail(format!("the running process refuses: {why}")),
            (Successor::Asking, Forms { .. } | List { .. } | Records(_) | LearnedState(_) | Sockets(_)) => {
                (Successor::Asking, SuccessorStep::Absorb)
            }
            (Successor::Asking, Whole) => (Successor::Taking, SuccessorStep::Take),
            (Successor::Taking, Records(_)) => (Successor::Taking, SuccessorStep::Absorb),
            (Successor::Taking, Yield { .. }) => (Successor::Claiming, SuccessorStep::Claim),
            (Successor::Claiming, Yours) => (Successor::Owner, SuccessorStep::Serve),
            (Successor::Owner, Records(_) | Connection { .. } | Held { .. }) => {
                (Successor::Owner, SuccessorStep::Absorb)
            }
            _ => return SuccessorStep::Fail("the running process speaks out of turn".into()),
        };
        *self = next;
        step
    }

    /// How long the next word may take.
    pub fn patience(self) -> Option<Millis> {
        (self != Successor::Owner).then_some(STEP)
    }
}
