//! The body of an answer, which may be indented, sent in chunks and truncated.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use serde_json::Value;
use tokio::time::{Sleep, sleep};

use crate::{Millis, duration};

/// How the body of an answer is written.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BodyStyle {
    /// Whether it has line ends and indents.
    pub indented: bool,
    /// In which chunks it is sent, if not in one.
    pub chunks: Option<ChunkPacing>,
    /// Where it stops before its end.
    pub truncation: Option<Truncation>,
}

/// The chunks of a body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChunkPacing {
    /// The size of a chunk.
    pub bytes: usize,
    /// The pause after a chunk.
    pub pause_ms: Millis,
}

/// How a body stops before its end, after so many bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Truncation {
    /// Nothing more is sent, and the connection stays.
    Silent(usize),
    /// The connection ends.
    Closed(usize),
}

/// A body that is sent as its style says. Its announced length is that of the whole text.
pub(super) struct StyledBody {
    remaining: Bytes,
    /// Bytes that are announced and never sent.
    withheld_bytes: usize,
    chunk_bytes: usize,
    pause_ms: Millis,
    /// Whether the connection ends where bytes are withheld.
    closes: bool,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl StyledBody {
    pub(super) fn new(value: &Value, style: BodyStyle) -> StyledBody {
        let text = if style.indented { serde_json::to_vec_pretty(value) } else { serde_json::to_vec(value) };
        let mut remaining = Bytes::from(text.unwrap_or_default());
        let pacing = style.chunks.unwrap_or(ChunkPacing { bytes: usize::MAX, pause_ms: 0.0 });
        let withheld_bytes = match style.truncation {
            Some(Truncation::Silent(limit) | Truncation::Closed(limit)) => {
                remaining.split_off(limit.min(remaining.len())).len()
            }
            None => 0,
        };
        StyledBody {
            remaining,
            withheld_bytes,
            chunk_bytes: pacing.bytes.max(1),
            pause_ms: pacing.pause_ms,
            closes: matches!(style.truncation, Some(Truncation::Closed(_))),
            sleep: None,
        }
    }
}

impl Body for StyledBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(sleep) = &mut self.sleep {
            std::task::ready!(sleep.as_mut().poll(context));
            self.sleep = None;
        }
        if self.remaining.is_empty() {
            return match (self.withheld_bytes, self.closes) {
                (0, _) => Poll::Ready(None),
                (_, true) => Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into()))),
                // Nothing wakes the task, so that the connection stays silent.
                (_, false) => Poll::Pending,
            };
        }
        let length = self.chunk_bytes.min(self.remaining.len());
        let chunk = self.remaining.split_to(length);
        if self.pause_ms > 0.0 {
            self.sleep = Some(Box::pin(sleep(duration(self.pause_ms))));
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.remaining.len() + self.withheld_bytes) as u64)
    }
}
