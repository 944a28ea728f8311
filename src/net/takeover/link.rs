//! Sends and receives messages with descriptors over the Unix socket between two processes.

use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::UnixStream;
use tokio::time::timeout;

use super::SEND_TIMEOUT;
use crate::handover::{MAX_PASSED_SOCKETS, Message, MessageDecoder, encode};

/// Most bytes that are read at once.
const READ_CHUNK_BYTES: usize = 4096;
/// Most received descriptors that wait for their message.
const MAX_PENDING_SOCKETS: usize = 2 * MAX_PASSED_SOCKETS;

/// A descriptor that was received before the message that it belongs to was whole.
struct PendingSocket {
    /// How many bytes were read by then. A read ends behind the first bytes of the message.
    received_at: u64,
    socket: OwnedFd,
}

/// A connection to the other process.
pub struct Link {
    stream: UnixStream,
    decoder: MessageDecoder,
    /// How many bytes were read.
    total_read: u64,
    pending_sockets: VecDeque<PendingSocket>,
    /// Those that belong to the latest message. They may be fewer than it names: the system drops one that
    /// it has no room for.
    message_sockets: Vec<OwnedFd>,
}

impl Link {
    /// A link over a stream that is connected.
    pub fn new(stream: UnixStream) -> Self {
        Link {
            stream,
            decoder: MessageDecoder::default(),
            total_read: 0,
            pending_sockets: VecDeque::new(),
            message_sockets: Vec::new(),
        }
    }

    /// The next message. It loses nothing when dropped on the way.
    ///
    /// # Errors
    /// The link is broken, or what was received is no message.
    pub async fn next(&mut self) -> io::Result<Message> {
        loop {
            let message = self.decoder.next_message().map_err(|e| io::Error::other(e.to_string()))?;
            if let Some(message) = message {
                self.assign_sockets();
                return Ok(message);
            }
            self.stream.readable().await?;
            self.receive()?;
        }
    }

    /// Assigns the descriptors that were received by the end of the latest message to it.
    fn assign_sockets(&mut self) {
        let end = self.total_read - self.decoder.buffered_bytes() as u64;
        let count = self.pending_sockets.iter().take_while(|pending| pending.received_at <= end).count();
        self.message_sockets = self.pending_sockets.drain(..count).map(|pending| pending.socket).collect();
    }

    /// Reads what is there.
    fn receive(&mut self) -> io::Result<()> {
        let mut bytes = [0; READ_CHUNK_BYTES];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_SOCKETS))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let received = self.stream.try_io(Interest::READABLE, || {
            let mut parts = [IoSliceMut::new(&mut bytes)];
            Ok(recvmsg(&self.stream, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes)
        });
        let read = match received {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => read,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        };
        self.total_read += read as u64;
        let received_at = self.total_read;
        for part in control.drain() {
            if let RecvAncillaryMessage::ScmRights(sockets) = part {
                self.pending_sockets.extend(sockets.map(|socket| PendingSocket { received_at, socket }));
            }
        }
        self.pending_sockets.truncate(MAX_PENDING_SOCKETS);
        self.decoder.feed(&bytes[..read]);
        Ok(())
    }

    /// Takes the descriptors that were received with the latest message.
    pub fn take_sockets(&mut self) -> Vec<OwnedFd> {
        std::mem::take(&mut self.message_sockets)
    }

    /// Sends a message without descriptors.
    ///
    /// # Errors
    /// The link is broken, or the other process does not read.
    pub async fn send(&mut self, message: &Message) -> io::Result<()> {
        self.send_with_sockets(message, &[]).await
    }

    /// Sends a message with duplicates of descriptors.
    ///
    /// # Errors
    /// The link is broken, the other process does not read, or there are too many descriptors.
    pub async fn send_with_sockets(
        &mut self,
        message: &Message,
        sockets: &[BorrowedFd<'_>],
    ) -> io::Result<()> {
        let bytes = encode(message);
        let sent = async {
            let mut written = 0;
            while written == 0 {
                self.stream.writable().await?;
                written = self.write_first(&bytes, sockets)?;
            }
            self.stream.write_all(&bytes[written..]).await
        };
        timeout(SEND_TIMEOUT, sent).await?
    }

    /// Writes a message's first bytes and its descriptors; 0 where the socket takes nothing now.
    fn write_first(&self, bytes: &[u8], sockets: &[BorrowedFd<'_>]) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_SOCKETS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !sockets.is_empty() && !control.push(SendAncillaryMessage::ScmRights(sockets)) {
            return Err(io::Error::other("too many sockets"));
        }
        let written = self.stream.try_io(Interest::WRITABLE, || {
            let parts = [IoSlice::new(bytes)];
            Ok(sendmsg(&self.stream, &parts, &mut control, SendFlags::NOSIGNAL)?)
        });
        match written {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(0),
            written => written,
        }
    }
}
