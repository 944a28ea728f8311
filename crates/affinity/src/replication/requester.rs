//! The requesting side: which tables this relay has requested from which relay, and which chunks it has
//! received.

use std::collections::VecDeque;

use sandgw_units::random::SeededRandom;

use super::{ChunkId, RequestId, Sender};
use crate::codec::{BUCKETS, ClusterMessage, TableKind};
use crate::{Affinity, Millis};

/// Most relays whose groups are requested in a small cluster.
const MAX_GROUP_PEERS: usize = 8;
/// Most relays whose groups are requested in a large cluster. The loads of a few relays suffice to estimate
/// the mean over the cluster. With more requests than each relay answers at a time, most requests would be
/// sent again and again.
const MAX_GROUP_PEERS_IN_LARGE_CLUSTER: usize = 2;
/// Most relays whose clients are requested, one after another, in a small cluster. In a large cluster no
/// relay knows all clients, so none are requested.
const MAX_SESSION_PEERS: usize = 3;
/// Time without progress after which a request is sent again, or its missing chunks are requested again.
pub(super) const RETRY_AFTER_MS: Millis = 300.0;
/// Retries without progress before a request is abandoned.
const MAX_RETRIES: u32 = 8;
/// The delay before a retry grows with each retry up to this number of retries.
const MAX_BACKOFF_STEPS: u32 = 3;
/// Most chunks kept that arrived before their plan. Further ones are dropped and requested again.
const MAX_EARLY_CHUNKS: usize = 64;
/// Most chunks requested again at a time.
const MAX_RESENT_AT_A_TIME: usize = 48;

/// A request in flight.
struct PendingRequest {
    id: RequestId,
    /// Whether each chunk has been received, by bucket and index, once the plan is known.
    received: Option<Vec<Vec<bool>>>,
    /// Chunks that arrived before their plan.
    early_chunks: Vec<ClusterMessage>,
    missing: usize,
    total: usize,
    last_progress_at: Millis,
    retries: u32,
}

impl PendingRequest {
    fn new(id: RequestId, now: Millis) -> Self {
        PendingRequest {
            id,
            received: None,
            early_chunks: Vec::new(),
            missing: 0,
            total: 0,
            last_progress_at: now,
            retries: 0,
        }
    }

    fn retry_delay(&self) -> Millis {
        RETRY_AFTER_MS * f64::from(1 + self.retries.min(MAX_BACKOFF_STEPS))
    }

    fn record_progress(&mut self, now: Millis) {
        self.last_progress_at = now;
        self.retries = 0;
    }

    fn apply_plan(&mut self, now: Millis, chunk_counts: &[u16]) {
        let counts = || chunk_counts.iter().take(BUCKETS).map(|count| usize::from(*count));
        self.total = counts().sum();
        self.missing = self.total;
        self.received = Some(counts().map(|count| vec![false; count]).collect());
        self.record_progress(now);
    }

    /// Marks a chunk as received; returns whether it is part of the plan and was not received before.
    fn take_chunk(&mut self, now: Millis, chunk: ChunkId) -> bool {
        let Some(received) = self.received.as_mut() else { return false };
        let bucket = received.get_mut(usize::from(chunk.bucket));
        let Some(was_received) = bucket.and_then(|bucket| bucket.get_mut(usize::from(chunk.chunk))) else {
            return false;
        };
        if std::mem::replace(was_received, true) {
            return false;
        }
        self.missing -= 1;
        self.record_progress(now);
        true
    }

    /// Messages that request missing chunks again, and the number of those chunks.
    fn resend_messages(&self) -> (Vec<ClusterMessage>, usize) {
        let mut messages = Vec::new();
        let mut room = MAX_RESENT_AT_A_TIME;
        for (bucket, received) in self.received.iter().flatten().enumerate() {
            let missing = (0..received.len()).filter(|chunk| !received[*chunk]);
            let chunks: Vec<u16> = missing.map(|chunk| chunk as u16).take(room).collect();
            if !chunks.is_empty() {
                room -= chunks.len();
                let RequestId { round, table, .. } = self.id;
                messages.push(ClusterMessage::Resend { round, table, bucket: bucket as u8, chunks });
            }
        }
        (messages, MAX_RESENT_AT_A_TIME - room)
    }
}

/// The requests of this relay.
pub(super) struct Requester {
    random: SeededRandom,
    requests: Vec<PendingRequest>,
    /// Relays whose clients are still to be requested.
    session_peers: VecDeque<u32>,
    has_learned: bool,
    resend_requests: u64,
}

impl Requester {
    pub fn new(seed: u64) -> Self {
        Requester {
            random: SeededRandom::new(seed),
            requests: Vec::new(),
            session_peers: VecDeque::new(),
            has_learned: false,
            resend_requests: 0,
        }
    }

    pub fn resend_requests(&self) -> u64 {
        self.resend_requests
    }

    pub fn is_recovering(&self) -> bool {
        !self.requests.is_empty()
    }

    pub fn take_learned(&mut self) -> bool {
        std::mem::take(&mut self.has_learned)
    }

    pub fn recover(&mut self, affinity: &Affinity, now: Millis, sender: &mut Sender<'_>) {
        let position = affinity.position();
        // Begins with the next index, so that relays that start together first request from different peers.
        let others = (1..position.relay_count).map(|i| (position.local_index + i) % position.relay_count);
        let is_large = position.is_large();
        let session_peers = if is_large { 0 } else { MAX_SESSION_PEERS };
        let group_peers = if is_large { MAX_GROUP_PEERS_IN_LARGE_CLUSTER } else { MAX_GROUP_PEERS };
        self.session_peers = others.clone().take(session_peers).collect();
        self.requests.clear();
        for peer in others.take(group_peers) {
            self.request(affinity, now, peer, TableKind::Groups, sender);
        }
        self.request_next_sessions(affinity, now, sender);
    }

    pub fn handle_plan(
        &mut self,
        affinity: &mut Affinity,
        now: Millis,
        id: RequestId,
        chunk_counts: &[u16],
        sender: &mut Sender<'_>,
    ) {
        let unplanned = |request: &&mut PendingRequest| request.id == id && request.received.is_none();
        let Some(request) = self.requests.iter_mut().find(unplanned) else { return };
        request.apply_plan(now, chunk_counts);
        let early_chunks = std::mem::take(&mut request.early_chunks);
        if request.missing == 0 {
            // A relay without loads counts as included, too.
            if id.table == TableKind::Groups {
                affinity.include_relays(now, 1.0);
            }
            self.finish(affinity, now, id.round, sender);
        }
        for chunk in early_chunks {
            self.handle_chunk(affinity, now, id.peer, chunk, sender);
        }
    }

    /// Handles a chunk of an answer; a chunk that arrives before its plan is kept until the plan arrives.
    pub fn handle_chunk(
        &mut self,
        affinity: &mut Affinity,
        now: Millis,
        peer: u32,
        message: ClusterMessage,
        sender: &mut Sender<'_>,
    ) {
        let Some((id, chunk)) = identify_chunk(peer, &message) else { return };
        let unplanned = |request: &&mut PendingRequest| {
            request.id.peer == peer && request.id.round == id.round && request.received.is_none()
        };
        if let Some(request) = self.requests.iter_mut().find(unplanned) {
            if request.early_chunks.len() < MAX_EARLY_CHUNKS {
                request.early_chunks.push(message);
            }
            return;
        }
        if !self.take_chunk(affinity, now, id, chunk) {
            return;
        }
        merge_chunk(affinity, now, message);
        if self.requests.iter().any(|request| request.id.round == id.round && request.missing == 0) {
            self.finish(affinity, now, id.round, sender);
        }
    }

    pub fn retry_overdue(&mut self, affinity: &Affinity, now: Millis, sender: &mut Sender<'_>) {
        let is_overdue = |request: &&PendingRequest| now - request.last_progress_at >= request.retry_delay();
        let overdue: Vec<u32> =
            self.requests.iter().filter(is_overdue).map(|request| request.id.round).collect();
        for round in overdue {
            self.retry(affinity, now, round, sender);
        }
    }

    pub fn retry_deadlines(&self) -> impl Iterator<Item = Millis> {
        self.requests.iter().map(|request| request.last_progress_at + request.retry_delay())
    }

    fn request_next_sessions(&mut self, affinity: &Affinity, now: Millis, sender: &mut Sender<'_>) {
        if let Some(peer) = self.session_peers.pop_front() {
            self.request(affinity, now, peer, TableKind::Sessions, sender);
        }
    }

    fn request(
        &mut self,
        affinity: &Affinity,
        now: Millis,
        peer: u32,
        table: TableKind,
        sender: &mut Sender<'_>,
    ) {
        // The round depends on the time too. If a configuration gives each start the same seed, an answer to
        // a request of the earlier incarnation would otherwise be mistaken for an answer to this request.
        let round = self.random.next_u64_at(now) as u32;
        let id = RequestId { peer, round, table };
        self.requests.push(PendingRequest::new(id, now));
        sender.send(peer, request_message(affinity, now, id));
    }

    /// Marks a chunk as received; returns whether it was requested and not received before.
    fn take_chunk(&mut self, affinity: &mut Affinity, now: Millis, id: RequestId, chunk: ChunkId) -> bool {
        let Some(request) = self.requests.iter_mut().find(|request| request.id == id) else { return false };
        let is_new = request.take_chunk(now, chunk);
        if is_new && id.table == TableKind::Groups {
            affinity.include_relays(now, 1.0 / request.total as f64);
        }
        is_new
    }

    /// Ends a request whose chunks have all been received, or that is abandoned.
    fn finish(&mut self, affinity: &Affinity, now: Millis, round: u32, sender: &mut Sender<'_>) {
        let Some(index) = self.requests.iter().position(|request| request.id.round == round) else { return };
        let request = self.requests.swap_remove(index);
        match request.id.table {
            TableKind::Groups => self.has_learned |= request.missing < request.total,
            TableKind::Sessions => self.request_next_sessions(affinity, now, sender),
        }
    }

    fn retry(&mut self, affinity: &Affinity, now: Millis, round: u32, sender: &mut Sender<'_>) {
        let Some(request) = self.requests.iter_mut().find(|request| request.id.round == round) else {
            return;
        };
        request.retries += 1;
        request.last_progress_at = now;
        if request.retries > MAX_RETRIES {
            return self.finish(affinity, now, round, sender);
        }
        let id = request.id;
        if request.received.is_none() {
            return sender.send(id.peer, request_message(affinity, now, id));
        }
        let (messages, chunks) = request.resend_messages();
        self.resend_requests += chunks as u64;
        for message in messages {
            sender.send(id.peer, message);
        }
    }
}

/// The message of a request. Clients are compared by digests if this relay knows any. The loads of groups are
/// each relay's own, so there is nothing to compare and all groups are requested.
fn request_message(affinity: &Affinity, now: Millis, id: RequestId) -> ClusterMessage {
    let compares = id.table == TableKind::Sessions && affinity.statistics().sessions > 0;
    let digests = if compares { affinity.session_digests(now) } else { Vec::new() };
    ClusterMessage::SyncRequest { round: id.round, table: id.table, digests }
}

fn identify_chunk(peer: u32, message: &ClusterMessage) -> Option<(RequestId, ChunkId)> {
    let (round, table, bucket, chunk) = match *message {
        ClusterMessage::Sessions { round, bucket, chunk, .. } => (round, TableKind::Sessions, bucket, chunk),
        ClusterMessage::Groups { round, bucket, chunk, .. } => (round, TableKind::Groups, bucket, chunk),
        _ => return None,
    };
    Some((RequestId { peer, round, table }, ChunkId { bucket, chunk }))
}

fn merge_chunk(affinity: &mut Affinity, now: Millis, message: ClusterMessage) {
    match message {
        ClusterMessage::Sessions { rows, .. } => {
            for row in rows {
                for client in row.clients {
                    affinity.merge_session(now, client.key(), row.tag, row.age);
                }
            }
        }
        ClusterMessage::Groups { rows, .. } => rows.iter().for_each(|row| affinity.merge_group(now, row)),
        _ => {}
    }
}
