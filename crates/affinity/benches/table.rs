//! Measures lookups, updates, inserts that evict an entry, and group connections, by the number of entries.
//! `cargo bench -p sandgw-affinity --bench table`

use std::hint::black_box;
use std::sync::Arc;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use sandgw_affinity::endpoint_registry::{ListedEndpoint, ListedState};
use sandgw_affinity::{Affinity, Limits};

/// The n-th key; the multiplication spreads the keys over the table.
fn key(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24
}

fn filled_tables(entries: u64) -> Affinity {
    let limits = Limits { bytes: entries as usize * 160, max_age: 1e9, ..Limits::default() };
    let mut affinity = Affinity::new(limits, 0.0);
    let id: Arc<str> = Arc::from("s-1");
    let listed = ListedEndpoint { id: &id, started: 0.0, state: ListedState::Ready };
    affinity.apply_list(0.0, true, std::iter::once(listed));
    for n in 0..entries {
        affinity.record_session(0.0, key(n), "s-1");
    }
    affinity
}

fn table(c: &mut Criterion) {
    let mut group = c.benchmark_group("sessions");
    group.sample_size(30);
    for entries in [10_000u64, 100_000, 1_000_000] {
        let mut affinity = filled_tables(entries);
        let sessions = affinity.statistics().sessions;
        let mut n = 0;
        group.bench_function(BenchmarkId::new("lookup", entries), |b| {
            b.iter(|| {
                n = (n + 7919) % sessions;
                black_box(affinity.session(key(n)))
            });
        });
        // A single client, whose entry stays in the CPU cache: the cost without waiting for memory.
        group.bench_function(BenchmarkId::new("lookup-hot", entries), |b| {
            b.iter(|| black_box(affinity.session(key(1))));
        });
        let mut n = 0;
        group.bench_function(BenchmarkId::new("set-known", entries), |b| {
            b.iter(|| {
                n = (n + 7919) % sessions;
                black_box(affinity.record_session(1.0, key(n), "s-1"))
            });
        });
        let mut n = entries * 4;
        group.bench_function(BenchmarkId::new("insert-evicting", entries), |b| {
            b.iter_batched(
                || {
                    n += 1;
                    key(n)
                },
                |key| black_box(affinity.record_session(1.0, key, "s-1")),
                BatchSize::SmallInput,
            );
        });
        let mut n = 0;
        group.bench_function(BenchmarkId::new("group-place", entries), |b| {
            b.iter(|| {
                n = (n + 7919) % (entries / 4);
                affinity.record_group_connection(1.0, key(n), "s-1", 1.0);
            });
        });
        let table_bytes = affinity.max_table_bytes();
        let statistics = affinity.statistics();
        eprintln!(
            "{entries}: {} clients stored at {:.1} bytes per entry, table of groups {} bytes of {}",
            statistics.sessions,
            table_bytes.sessions as f64 / statistics.sessions as f64,
            table_bytes.groups,
            statistics.max_bytes
        );
    }
    group.finish();
}

criterion_group!(benches, table);
criterion_main!(benches);
