//! Time from opening a store to tables that are ready, by its size; and what a batch costs to write.
//! `cargo bench -p sandgw-affinity-store --bench startup`

use std::time::Instant;

use sandgw_affinity::endpoint_registry::EndpointTag;
use sandgw_affinity::{Affinity, Changes, Limits, Record};
use sandgw_affinity_store::{FILE, Store};

const NOW: f64 = 1.7e12;

fn record(n: u64) -> Record {
    let holder = EndpointTag::of(&format!("10.0.0.{}:8443", n % 14), 0.0);
    let key = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    if n.is_multiple_of(10) {
        Record::Group { key, holders: vec![(holder, 3.5), (EndpointTag::of("other", 0.0), 0.5)], at: NOW }
    } else {
        Record::Session { key: key >> 24, holder, at: NOW }
    }
}

fn main() {
    const RUNS: usize = 5;
    println!("median of {RUNS} (least to most)");
    for entries in [10_000u64, 100_000, 1_000_000] {
        let folder = tempfile::tempdir().expect("a folder");
        let store = Store::open(folder.path()).expect("a store").store;
        let whole = Changes { updated: (0..entries).map(record).collect(), ..Changes::default() };
        store.write(&whole).expect("written");
        let mut batches = Vec::new();
        for run in 0..RUNS as u64 {
            // A second's worth at twelve connections a second, and a hundred times that.
            let set = (0..1200).map(|n| record((run * 7919 + n * 31) % entries)).collect();
            let start = Instant::now();
            store.write(&Changes { updated: set, ..Changes::default() }).expect("written");
            batches.push(start.elapsed().as_secs_f64() * 1e3);
        }
        drop(store);
        let mut starts = Vec::new();
        let mut taken = 0;
        for _ in 0..RUNS {
            let start = Instant::now();
            let store = Store::open(folder.path()).expect("a store").store;
            let limits = Limits { bytes: entries as usize * 256, ..Limits::default() };
            let mut affinity = Affinity::new(limits, NOW);
            let mut records = Vec::new();
            store.load(|r| records.push(r)).expect("read");
            taken = affinity.restore(NOW, records.into_iter()).accepted;
            starts.push(start.elapsed().as_secs_f64() * 1e3);
        }
        let bytes = std::fs::metadata(folder.path().join(FILE)).expect("a file").len();
        for all in [&mut starts, &mut batches] {
            all.sort_by(f64::total_cmp);
        }
        let show = |all: &[f64]| format!("{:.1} ms ({:.1} to {:.1})", all[RUNS / 2], all[0], all[RUNS - 1]);
        let each = bytes as f64 / entries as f64;
        println!(
            "{entries} entries: start {}, {taken} taken; a batch of 1,200 {}; {each:.0} bytes an entry on disk",
            show(&starts),
            show(&batches)
        );
    }
}
