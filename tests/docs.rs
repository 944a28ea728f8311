//! The console blocks of README and of the operators' pages, run as they stand there.
//!
//! Each page is copied into a folder of its own and its commands run one after another in another beside
//! it, with the files that the page speaks of. What a command prints must be what the page shows.

use std::path::Path;

/// A file that a page speaks of: its name, and what is in it.
type File = (&'static str, &'static str);

/// The pages that have such blocks, and the files that they speak of.
const PAGES: [(&str, &str, &[File]); 4] = [
    ("README", include_str!("../README.md"), &[]),
    ("errors", include_str!("../docs/operators/errors.md"), &[("bad.toml", BAD)]),
    ("on-call", include_str!("../docs/operators/on-call.md"), &[]),
    ("state", include_str!("../docs/operators/state.md"), &[("vod.jsonl", KEPT)]),
];

const BAD: &str = "[relay]\nlisten = 5\ndiscovery = \"127.0.0.1:8500\"\nspeed = 1\n\
                   [[settings.lanes]]\nname = \"subtitle-stream\"\n[settings.limits]\nmaxAttempts = 0\n";

/// An export: two endpoints, three clients and a group.
const KEPT: &str = r#"{"streamer":{"tag":"1286f81b","id":"s-1","started_ms":0.0}}
{"streamer":{"tag":"f7324ac1","id":"s-2","started_ms":1760000000000.0}}
{"client":{"key":"0000000000000001","holder":"1286f81b","at_ms":1760000100000.0}}
{"client":{"key":"0000000000000002","holder":"1286f81b","at_ms":1760000101500.0}}
{"client":{"key":"0000000000000003","holder":"f7324ac1","at_ms":1760000103000.0}}
{"group":{"key":"0000000000000007","holders":[["1286f81b",1.5],["f7324ac1",0.5]],"at_ms":1760000103000.0}}
"#;

/// Writes a page and what it speaks of. A folder `NAME.in` is what the runner starts its commands in, a
/// copy of it where there is a `NAME.out`.
fn lay_out(folder: &Path, name: &str, page: &str, files: &[File]) -> std::io::Result<()> {
    let start = folder.join(format!("{name}.in"));
    std::fs::create_dir(&start)?;
    std::fs::create_dir(folder.join(format!("{name}.out")))?;
    files.iter().try_for_each(|(file, text)| std::fs::write(start.join(file), text))?;
    std::fs::write(folder.join(format!("{name}.md")), page)
}

#[test]
fn commands_of_the_pages_print_what_the_pages_show() {
    let folder = tempfile::tempdir().unwrap();
    let runner = trycmd::TestCases::new();
    for (name, page, files) in PAGES {
        assert!(page.contains("```console\n$ sandgw "), "{name} has nothing to run");
        lay_out(folder.path(), name, page, files).unwrap();
        runner.case(folder.path().join(format!("{name}.md")));
    }
    runner.register_bin("sandgw", Path::new(env!("CARGO_BIN_EXE_sandgw"))).run();
}
