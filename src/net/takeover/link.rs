//! Sends and receives hand-over messages and descriptors over the Unix socket between two processes.

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

/// Most bytes that are read in one system call.
const READ_CHUNK_BYTES: usize = 4096;
/// Most received descriptors that are kept until their message is complete. Further descriptors are closed.
const MAX_PENDING_SOCKETS: usize = 2 * MAX_PASSED_SOCKETS;

/// A received descriptor whose message is not yet complete.
struct PendingSocket {
    /// The total of bytes read when the descriptor was received. The read that returns a descriptor ends
    /// after the first bytes of its message.
    received_at: u64,
    socket: OwnedFd,
}

/// A connection to the other process of the hand-over.
pub struct Link {
    stream: UnixStream,
    decoder: MessageDecoder,
    /// The total of bytes read from the stream.
    total_read: u64,
    pending_sockets: VecDeque<PendingSocket>,
    /// The descriptors of the latest message. There may be fewer than the message names: the system drops
    /// descriptors that it has no room for.
    message_sockets: Vec<OwnedFd>,
}

impl Link {
    /// Creates a link over a connected stream.
    pub fn new(stream: UnixStream) -> Self {
        Link {
            stream,
            decoder: MessageDecoder::default(),
            total_read: 0,
            pending_sockets: VecDeque::new(),
            message_sockets: Vec::new(),
        }
    }

    /// Receives the next message. Dropping the future before it is ready loses no data.
    ///
    /// # Errors
    /// The link is broken, or the bytes received are no valid message.
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

    /// Assigns to the latest message the pending descriptors that were received up to its end.
    fn assign_sockets(&mut self) {
        let end = self.total_read - self.decoder.buffered_bytes() as u64;
        let count = self.pending_sockets.iter().take_while(|pending| pending.received_at <= end).count();
        self.message_sockets = self.pending_sockets.drain(..count).map(|pending| pending.socket).collect();
    }

    /// Reads the bytes and descriptors that are available now, in one system call.
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

    /// Sends a message and duplicates of the descriptors.
    ///
    /// # Errors
    /// The link is broken, the other process does not read, or there are more than [`MAX_PASSED_SOCKETS`]
    /// descriptors.
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
                written = self.write_with_sockets(&bytes, sockets)?;
            }
            self.stream.write_all(&bytes[written..]).await
        };
        timeout(SEND_TIMEOUT, sent).await?
    }

    /// Writes the first bytes of a message together with its descriptors. Returns how many bytes were
    /// written, which is 0 where the socket can take none now.
    fn write_with_sockets(&self, bytes: &[u8], sockets: &[BorrowedFd<'_>]) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_SOCKETS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !sockets.is_empty() && !control.push(SendAncillaryMessage::ScmRights(sockets)) {
            return Err(io::Error::other("too many descriptors for one message"));
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
