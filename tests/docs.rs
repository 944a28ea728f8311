//! Runs the console blocks of the README and of the operators' pages.
//!
//! Each page is copied into a temporary folder. Its commands run in order in a folder beside it that has the
//! files which the page mentions, and must print what the page shows.

use std::path::Path;

/// A file that a page mentions: its name and its text.
type PageFile = (&'static str, &'static str);

/// The pages with console blocks, and the files that they mention.
const PAGES: [(&str, &str, &[PageFile]); 4] = [
    ("README", include_str!("../README.md"), &[]),
    ("errors", include_str!("../docs/operators/errors.md"), &[("bad.toml", FAULTY_CONFIGURATION)]),
    ("on-call", include_str!("../docs/operators/on-call.md"), &[]),
    ("state", include_str!("../docs/operators/state.md"), &[("vod.jsonl", EXPORT)]),
];

const FAULTY_CONFIGURATION: &str = "[relay]\nlisten = 5\ndiscovery = \"127.0.0.1:8500\"\nspeed = 1\n\
                   [[settings.lanes]]\nname = \"subtitle-stream\"\n[settings.limits]\nmaxAttempts = 0\n";

/// An export: two endpoints, three clients and a group.
const EXPORT: &str = r#"{"streamer":{"tag":"1286f81b","id":"s-1","started_ms":0.0}}
{"streamer":{"tag":"f7324ac1","id":"s-2","started_ms":1760000000000.0}}
{"client":{"key":"0000000000000001","holder":"1286f81b","at_ms":1760000100000.0}}
{"client":{"key":"0000000000000002","holder":"1286f81b","at_ms":1760000101500.0}}
{"client":{"key":"0000000000000003","holder":"f7324ac1","at_ms":1760000103000.0}}
{"group":{"key":"0000000000000007","holders":[["1286f81b",1.5],["f7324ac1",0.5]],"at_ms":1760000103000.0}}
"#;

/// Writes a page and the files that it mentions. The runner starts the commands of `NAME.md` in the folder
/// `NAME.in`, or in a copy of it where `NAME.out` exists.
fn write_page(folder: &Path, name: &str, page: &str, files: &[PageFile]) -> std::io::Result<()> {
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
        assert!(page.contains("```console\n$ sandgw "), "{name} has no console block with a sandgw command");
        write_page(folder.path(), name, page, files).unwrap();
        runner.case(folder.path().join(format!("{name}.md")));
    }
    runner.register_bin("sandgw", Path::new(env!("CARGO_BIN_EXE_sandgw"))).run();
}
