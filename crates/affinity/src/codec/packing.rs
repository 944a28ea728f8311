//! Packs rows of the tables into chunks that each fit a message.

use super::{Client, GroupRow, ROWS_BYTES, SessionRow, StickyClients};
use crate::endpoint_registry::EndpointTag;

/// Bytes of a holder's tag, the age of its clients' entries and the number of those clients.
const STICKY_HEAD_BYTES: usize = size_of::<EndpointTag>() + 2;
/// Most bytes of a holder of a group, of which the load takes up to three.
const HOLDER_ROW_BYTES: usize = size_of::<EndpointTag>() + 3;

/// Packs clients, which must be sorted by holder and age.
pub(crate) fn pack_sessions(sessions: impl Iterator<Item = SessionRow>) -> Vec<Vec<StickyClients>> {
    let mut chunks: Vec<Vec<StickyClients>> = Vec::new();
    let mut rows: Vec<StickyClients> = Vec::new();
    let mut used_bytes = 0;
    for session in sessions {
        let continues = rows.last().is_some_and(|row| row.tag == session.tag && row.age == session.age);
        let needed_bytes = size_of::<Client>() + if continues { 0 } else { STICKY_HEAD_BYTES };
        let is_full = used_bytes + needed_bytes > ROWS_BYTES;
        if is_full {
            chunks.push(std::mem::take(&mut rows));
            used_bytes = 0;
        }
        if is_full || !continues {
            rows.push(StickyClients { tag: session.tag, age: session.age, clients: Vec::new() });
            used_bytes += STICKY_HEAD_BYTES;
        }
        used_bytes += size_of::<Client>();
        if let Some(row) = rows.last_mut() {
            row.clients.push(Client::of(session.key));
        }
    }
    if !rows.is_empty() {
        chunks.push(rows);
    }
    chunks
}

/// Packs groups.
pub(crate) fn pack_groups(groups: impl Iterator<Item = GroupRow>) -> Vec<Vec<GroupRow>> {
    let mut chunks: Vec<Vec<GroupRow>> = Vec::new();
    let mut rows: Vec<GroupRow> = Vec::new();
    let mut used_bytes = 0;
    for row in groups {
        let needed_bytes = size_of_val(&row.key) + 1 + row.holders.len() * HOLDER_ROW_BYTES;
        if used_bytes + needed_bytes > ROWS_BYTES && !rows.is_empty() {
            chunks.push(std::mem::take(&mut rows));
            used_bytes = 0;
        }
        used_bytes += needed_bytes;
        rows.push(row);
    }
    if !rows.is_empty() {
        chunks.push(rows);
    }
    chunks
}
