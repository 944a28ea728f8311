//! Measures the time from opening a store until the tables are restored, and the time to write a batch, by
//! the number of entries. `cargo bench -p sandgw-affinity-store --bench startup`

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
    println!("median of {RUNS} (minimum to maximum)");
    for entries in [10_000u64, 100_000, 1_000_000] {
        let folder = tempfile::tempdir().expect("a folder");
        let store = Store::open(folder.path()).expect("a store").store;
        let all_records = Changes { updated: (0..entries).map(record).collect(), ..Changes::default() };
        store.write(&all_records).expect("written");
        let mut batch_times = Vec::new();
        for run in 0..RUNS as u64 {
            // A hundred times the changes of a second at twelve connections a second.
            let batch = (0..1200).map(|n| record((run * 7919 + n * 31) % entries)).collect();
            let start = Instant::now();
            store.write(&Changes { updated: batch, ..Changes::default() }).expect("written");
            batch_times.push(start.elapsed().as_secs_f64() * 1e3);
        }
        drop(store);
        let mut start_times = Vec::new();
        let mut accepted_records = 0;
        for _ in 0..RUNS {
            let start = Instant::now();
            let store = Store::open(folder.path()).expect("a store").store;
            let limits = Limits { bytes: entries as usize * 256, ..Limits::default() };
            let mut affinity = Affinity::new(limits, NOW);
            let mut records = Vec::new();
            store.load(|r| records.push(r)).expect("read");
            accepted_records = affinity.restore(NOW, records.into_iter()).accepted;
            start_times.push(start.elapsed().as_secs_f64() * 1e3);
        }
        let bytes = std::fs::metadata(folder.path().join(FILE)).expect("a file").len();
        for times in [&mut start_times, &mut batch_times] {
            times.sort_by(f64::total_cmp);
        }
        let format_times =
            |times: &[f64]| format!("{:.1} ms ({:.1} to {:.1})", times[RUNS / 2], times[0], times[RUNS - 1]);
        let bytes_per_entry = bytes as f64 / entries as f64;
        println!(
            "{entries} entries: start {}, {accepted_records} accepted; a batch of 1,200 {}; {bytes_per_entry:.0} bytes per entry on disk",
            format_times(&start_times),
            format_times(&batch_times)
        );
    }
}
