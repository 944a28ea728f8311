//! Tests that exported lines are read back unchanged.

use sandgw_affinity_store::commands::ExportLine;

/// Guards against an import that changes the last digit of a time.
#[test]
fn times_are_imported_as_they_were_exported() {
    let mut changed = 0;
    for i in 0..2000 {
        let started_ms = 1_796_000_000_000.0 + f64::from(i) * 1_234.567_890_123;
        let line = ExportLine::Endpoint { tag: "00c0ffee".into(), id: "s-1".into(), started_ms };
        let text = serde_json::to_string(&line).unwrap();
        changed += usize::from(serde_json::from_str::<ExportLine>(&text).unwrap() != line);
    }
    assert_eq!(changed, 0, "times changed, of 2,000");
}
