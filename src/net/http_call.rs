//! One call of discovery: HTTP/1.1 by hyper, over any stream of bytes and on the caller's task.
//!
//! Given a connection that is open and a path, it gives the body of the response, whole and of bounded
//! length, or says why there is none. It opens no connection, keeps none, and starts no task; time limits
//! are the caller's.

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

use crate::discovery::{ANSWER_BYTES, CallError};

/// Makes one call over a new connection; the body of the response, once it is whole.
///
/// # Errors
/// Why there is no such body: the connection broke, or what was received is cut, too long, or no good
/// response.
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
        let body = Limited::new(response.into_body(), ANSWER_BYTES).collect().await;
        body.map(|whole| whole.to_bytes()).map_err(|e| match e.downcast_ref::<hyper::Error>() {
            Some(e) => call_error(e, "body"),
            None if e.is::<LengthLimitError>() => CallError::TooLong,
            None => CallError::NotHttp(e.to_string()),
        })
    });
    // The connection carries the bytes, and its error reaches the call.
    tokio::select! {
        biased;
        response = &mut response => return response,
        _ = connection => {}
    }
    response.await
}

/// Distinguishes a response that was cut, one that is not HTTP, and a connection that broke.
fn call_error(e: &hyper::Error, part: &'static str) -> CallError {
    if cause::<hyper::Error>(e, hyper::Error::is_incomplete_message).is_some() {
        return CallError::Cut(part);
    }
    let Some(io) = cause::<io::Error>(e, |_| true) else {
        return CallError::NotHttp(e.to_string());
    };
    match io.kind() {
        io::ErrorKind::UnexpectedEof => CallError::Cut(part),
        io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData => CallError::NotHttp(io.to_string()),
        kind => CallError::Io(io::Error::new(kind, io.to_string())),
    }
}

/// The first of an error and its sources that is of a type and matches.
fn cause<'a, E: Error + 'static>(
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
