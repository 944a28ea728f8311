//! The answering side: which tables other relays have requested, and which chunks are still to be sent.

use std::cmp::Reverse;
use std::collections::VecDeque;

use super::{ChunkId, RequestId, Sender};
use crate::affinity::by_bucket;
use crate::codec::{
    BUCKETS, ClusterMessage, GroupRow, MAX_MESSAGE_BYTES, TableKind, pack_groups, pack_sessions,
};
use crate::{Affinity, Millis};

/// Most answers in flight. A request beyond them is ignored, and the requester sends it again.
const MAX_ANSWERS: usize = 4;
/// An answer is dropped once none of its chunks has been sent or requested again for this long.
const ANSWER_TTL_MS: Millis = 10_000.0;
/// All answers together may take one part in this many of the byte limit.
const ANSWERS_BYTES_DIVISOR: usize = 8;
/// Number of chunks that a bucket may have whatever the byte limit.
const MIN_CHUNKS_PER_BUCKET: usize = 4;

/// An answer in flight.
struct PendingAnswer {
    id: RequestId,
    plan: ClusterMessage,
    /// Chunks by bucket.
    chunks: Vec<Vec<ClusterMessage>>,
    /// Chunks still to be sent.
    queue: VecDeque<ChunkId>,
    last_used_at: Millis,
}

/// The answers of this relay.
#[derive(Default)]
pub(super) struct Responder {
    answers: Vec<PendingAnswer>,
    resent_chunks: u64,
}

impl Responder {
    pub fn resent_chunks(&self) -> u64 {
        self.resent_chunks
    }

    pub fn has_queued(&self) -> bool {
        self.answers.iter().any(|answer| !answer.queue.is_empty())
    }

    /// Answers a request: sends the plan at once, and the chunks as the rate allows.
    pub fn handle_request(
        &mut self,
        affinity: &Affinity,
        now: Millis,
        id: RequestId,
        digests: &[[u8; 4]],
        sender: &mut Sender<'_>,
    ) {
        if id.peer >= affinity.position().relay_count {
            return;
        }
        if let Some(answer) = self.answers.iter_mut().find(|answer| answer.id == id) {
            // The requester repeats its request because the plan was lost.
            answer.last_used_at = now;
            return sender.send(id.peer, answer.plan.clone());
        }
        self.remove_outdated(now, id);
        if self.answers.len() >= MAX_ANSWERS {
            return;
        }
        let chunks = differing_chunks(affinity, now, id, digests);
        let plan = plan_message(id, &chunks);
        sender.send(id.peer, plan.clone());
        let queue = sending_order(&chunks);
        self.answers.push(PendingAnswer { id, plan, chunks, queue, last_used_at: now });
        self.send_queued(now, sender);
    }

    /// Queues lost chunks again.
    pub fn handle_resend(
        &mut self,
        now: Millis,
        id: RequestId,
        bucket: u8,
        chunks: Vec<u16>,
        sender: &mut Sender<'_>,
    ) {
        let Some(answer) = self.answers.iter_mut().find(|answer| answer.id == id) else { return };
        answer.last_used_at = now;
        let available = answer.chunks.get(usize::from(bucket)).map_or(0, Vec::len);
        for chunk in chunks.into_iter().filter(|chunk| usize::from(*chunk) < available) {
            let chunk = ChunkId { bucket, chunk };
            if !answer.queue.contains(&chunk) {
                answer.queue.push_back(chunk);
                self.resent_chunks += 1;
            }
        }
        self.send_queued(now, sender);
    }

    /// Sends queued chunks as far as the rate allows, one chunk of each answer in turn.
    pub fn send_queued(&mut self, now: Millis, sender: &mut Sender<'_>) {
        while sender.budget.is_available() {
            let mut has_sent = false;
            for answer in &mut self.answers {
                if !sender.budget.is_available() {
                    break;
                }
                let Some(next) = answer.queue.pop_front() else { continue };
                let chunk = answer.chunks[usize::from(next.bucket)][usize::from(next.chunk)].clone();
                answer.last_used_at = now;
                sender.send(answer.id.peer, chunk);
                has_sent = true;
            }
            if !has_sent {
                break;
            }
        }
    }

    /// Drops answers that are no longer used, and those that a new request of the same peer for the same
    /// table replaces, such as answers to an earlier incarnation of the requester.
    fn remove_outdated(&mut self, now: Millis, id: RequestId) {
        self.answers.retain(|answer| {
            let is_replaced = answer.id.peer == id.peer && answer.id.table == id.table;
            !is_replaced && now - answer.last_used_at < ANSWER_TTL_MS
        });
    }
}

/// The chunks of all buckets that differ from the requester's; without digests, those of all buckets.
fn differing_chunks(
    affinity: &Affinity,
    now: Millis,
    id: RequestId,
    digests: &[[u8; 4]],
) -> Vec<Vec<ClusterMessage>> {
    let local_digests = affinity.session_digests(now);
    let mut chunks = match id.table {
        TableKind::Sessions => session_chunks(affinity, now, id.round),
        TableKind::Groups => group_chunks(affinity, now, id.round),
    };
    let max_chunks = max_chunks_per_bucket(affinity.limits().bytes);
    for (bucket, chunks) in chunks.iter_mut().enumerate() {
        let differs = digests.get(bucket) != Some(&local_digests[bucket]);
        chunks.truncate(if differs { max_chunks } else { 0 });
    }
    chunks
}

/// Most chunks per bucket, so that answers stay within their part of the byte limit; further chunks are left
/// out.
fn max_chunks_per_bucket(bytes: usize) -> usize {
    let chunks_per_answer = bytes / ANSWERS_BYTES_DIVISOR / MAX_ANSWERS / MAX_MESSAGE_BYTES;
    (chunks_per_answer / BUCKETS).max(MIN_CHUNKS_PER_BUCKET)
}

fn session_chunks(affinity: &Affinity, now: Millis, round: u32) -> Vec<Vec<ClusterMessage>> {
    let buckets = by_bucket(TableKind::Sessions, affinity.session_rows(now), |row| row.key);
    let mut chunks = Vec::with_capacity(BUCKETS);
    for (bucket, mut rows) in (0..).zip(buckets) {
        rows.sort_unstable();
        let packed = pack_sessions(rows.into_iter()).into_iter().zip(0..);
        let message = |(rows, chunk)| ClusterMessage::Sessions { round, bucket, chunk, rows };
        chunks.push(packed.map(message).collect());
    }
    chunks
}

fn group_chunks(affinity: &Affinity, now: Millis, round: u32) -> Vec<Vec<ClusterMessage>> {
    let key = |row: &GroupRow| u64::from_le_bytes(row.key);
    let buckets = by_bucket(TableKind::Groups, affinity.local_group_rows(now), key);
    let mut chunks = Vec::with_capacity(BUCKETS);
    for (bucket, mut rows) in (0..).zip(buckets) {
        // The largest groups come first, so that the smallest are the ones left out or lost.
        rows.sort_by_key(|row| (Reverse(total_load(row)), row.key));
        let packed = pack_groups(rows.into_iter()).into_iter().zip(0..);
        let message = |(rows, chunk)| ClusterMessage::Groups { round, bucket, chunk, rows };
        chunks.push(packed.map(message).collect());
    }
    chunks
}

fn total_load(row: &GroupRow) -> u32 {
    row.holders.iter().map(|holder| u32::from(holder.load_units)).sum()
}

fn plan_message(id: RequestId, chunks: &[Vec<ClusterMessage>]) -> ClusterMessage {
    let mut chunk_counts: Vec<u16> = chunks.iter().map(|chunks| chunks.len() as u16).collect();
    let used_buckets = chunk_counts.iter().rposition(|count| *count > 0).map_or(0, |last| last + 1);
    chunk_counts.truncate(used_buckets);
    ClusterMessage::SyncPlan { round: id.round, table: id.table, chunk_counts }
}

/// The first chunk of each bucket, then the second of each, and so on.
fn sending_order(chunks: &[Vec<ClusterMessage>]) -> VecDeque<ChunkId> {
    let longest = chunks.iter().map(Vec::len).max().unwrap_or(0);
    let mut order = VecDeque::new();
    for chunk in 0..longest {
        for (bucket, bucket_chunks) in chunks.iter().enumerate() {
            if bucket_chunks.len() > chunk {
                order.push_back(ChunkId { bucket: bucket as u8, chunk: chunk as u16 });
            }
        }
    }
    order
}
