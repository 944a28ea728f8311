//! One HTTP/1.1 call to discovery, made with hyper over any byte stream and on the caller's task.
//!
//! [`fetch`] takes an open connection and a path, and returns the complete body of the response, up to a
//! length limit, or the error. This module opens no connection, keeps none open, and starts no task. The
//! caller applies time limits.

use std::error::Error;
use std::io;
use std::pin::pin;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::discovery::{CallError, MAX_ANSWER_BYTES};

/// Makes one call over a new connection and returns the complete body of the response.
///
/// # Errors
/// The connection broke, or the response is truncated, longer than [`MAX_ANSWER_BYTES`], not HTTP, or has a
/// status other than 200.
pub(crate) async fn fetch(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    host: &str,
    path: &str,
) -> Result<Bytes, CallError> {
    let request = Request::get(path).header(HOST, host).header(CONNECTION, "close");
    let request = request.body(Empty::<Bytes>::new()).map_err(|e| CallError::NotHttp(e.to_string()))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| call_error(&e, "head"))?;
    let mut response = pin!(async move {
        let response = sender.send_request(request).await.map_err(|e| call_error(&e, "head"))?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status().as_u16()));
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        body.map(|collected| collected.to_bytes()).map_err(|e| match e.downcast_ref::<hyper::Error>() {
            Some(e) => call_error(e, "body"),
            None if e.is::<LengthLimitError>() => CallError::TooLong,
            None => CallError::NotHttp(e.to_string()),
        })
    });
    // Polling the connection moves the bytes. Its error is ignored here, since `response` returns the same
    // error.
    tokio::select! {
        biased;
        response = &mut response => return response,
        _ = connection => {}
    }
    response.await
}

/// Converts an error of hyper: the response was truncated or is not HTTP, or the connection broke.
fn call_error(e: &hyper::Error, part: &'static str) -> CallError {
    if find_source::<hyper::Error>(e, hyper::Error::is_incomplete_message).is_some() {
        return CallError::Truncated(part);
    }
    let Some(io) = find_source::<io::Error>(e, |_| true) else {
        return CallError::NotHttp(e.to_string());
    };
    match io.kind() {
        io::ErrorKind::UnexpectedEof => CallError::Truncated(part),
        io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData => CallError::NotHttp(io.to_string()),
        kind => CallError::Io(io::Error::new(kind, io.to_string())),
    }
}

/// Returns the first in the chain of an error and its sources that has type `E` and matches.
fn find_source<'a, E: Error + 'static>(
    e: &'a (dyn Error + 'static),
    matches: impl Fn(&E) -> bool,
) -> Option<&'a E> {
    let mut next = Some(e);
    while let Some(e) = next {
        if let Some(found) = e.downcast_ref::<E>().filter(|found| matches(found)) {
            return Some(found);
        }
        next = e.source();
    }
    None
}

#[cfg(test)]
mod tests;
