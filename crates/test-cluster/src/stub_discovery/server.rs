//! The HTTP side of the service: connections, requests and answers.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

use super::body::StyledBody;
use super::queue::{Answer, CallState, QueuedCall, Service, Turn};
use crate::log::{DiscoveryRequest, EventKind, RelayIndex};
use crate::network::reset;
use crate::{Millis, duration, lock};

/// The path of the endpoint list.
const LIST_PATH: &str = "/v1/endpoints";
/// The pause after a failure to accept, which is mostly for want of descriptors.
const ACCEPT_RETRY_MS: Millis = 10.0;
/// The longest time that a watch waits for a change.
const MAX_WATCH_MS: u64 = 60_000;

type HttpResponse = Response<BoxBody<Bytes, io::Error>>;

/// Serves the address of one relay.
pub(super) async fn serve(service: Arc<Service>, relay: RelayIndex, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(duration(ACCEPT_RETRY_MS)).await;
            continue;
        };
        if lock(&service.state).model.down {
            let call = service.next_call();
            let request = DiscoveryRequest::List;
            service.log.record(EventKind::DiscoveryCalled { relay, call, request, queued: true });
            service.log.record(EventKind::DiscoveryFailed { relay, call });
            reset(stream);
            continue;
        }
        tokio::spawn(serve_connection(service.clone(), relay, stream));
    }
}

/// Serves one connection until it ends or all calls have to end.
async fn serve_connection(service: Arc<Service>, relay: RelayIndex, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut changes = service.changes.subscribe();
    let generation = lock(&service.state).generation;
    let handler = {
        let service = service.clone();
        hyper::service::service_fn(move |request| answer(service.clone(), relay, request))
    };
    let builder = hyper::server::conn::http1::Builder::new();
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), handler));
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = changes.changed() => if lock(&service.state).generation != generation { return },
        }
    }
}

/// Records a call as failed when it is dropped, unless it was answered: also where its caller gave it up.
struct OpenCall {
    service: Arc<Service>,
    relay: RelayIndex,
    call: u64,
    answered: bool,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if !self.answered {
            let failed = EventKind::DiscoveryFailed { relay: self.relay, call: self.call };
            self.service.log.record(failed);
        }
    }
}

async fn answer(
    service: Arc<Service>,
    relay: RelayIndex,
    request: Request<Incoming>,
) -> Result<HttpResponse, Infallible> {
    let Some(request) = parse_request(request.uri()) else {
        return Ok(empty_response(StatusCode::NOT_FOUND));
    };
    let QueuedCall { call, silences_before, turn } = service.begin_call(relay, request);
    let mut open_call = OpenCall { service: service.clone(), relay, call, answered: false };
    match turn {
        Turn::After(wait_ms) => sleep(duration(wait_ms)).await,
        Turn::TimesOutAfter(timeout_ms) => {
            sleep(duration(timeout_ms)).await;
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        }
    }
    let Answer { list, revision, style } = wait_for_answer(&service, request, silences_before).await;
    // A truncated body informs its caller of nothing.
    if style.truncation.is_none() {
        open_call.answered = true;
        service.record_answer(relay, call, request, revision);
    }
    Ok(Response::new(StyledBody::new(&list, style).boxed()))
}

/// Waits until a call can be answered.
async fn wait_for_answer(service: &Service, request: DiscoveryRequest, silences_before: u64) -> Answer {
    let mut changes = service.changes.subscribe();
    let wait_ms = match request {
        DiscoveryRequest::Watch { wait_ms, .. } => wait_ms.min(MAX_WATCH_MS),
        DiscoveryRequest::List => 0,
    };
    let deadline = Instant::now() + duration(wait_ms as f64);
    loop {
        changes.borrow_and_update();
        let timed_out = Instant::now() >= deadline;
        let silent = match service.check_call(request, silences_before, timed_out) {
            CallState::Answer(answer) => return answer,
            CallState::Waiting => false,
            CallState::Silent => true,
        };
        tokio::select! {
            _ = changes.changed() => {}
            () = sleep_until(deadline), if !silent => {}
        }
    }
}

fn parse_request(uri: &Uri) -> Option<DiscoveryRequest> {
    if uri.path() != LIST_PATH {
        return None;
    }
    let query = uri.query().unwrap_or("");
    let parameters: HashMap<_, _> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
    let number = |name: &str| parameters.get(name).and_then(|text| text.parse().ok());
    Some(match number("after") {
        Some(after) => DiscoveryRequest::Watch { after, wait_ms: number("wait_ms").unwrap_or(0) },
        None => DiscoveryRequest::List,
    })
}

fn empty_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Empty::new().map_err(|never: Infallible| match never {}).boxed());
    *response.status_mut() = status;
    response
}
