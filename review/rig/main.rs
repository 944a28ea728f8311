//! Runs one case of this review: `rig CASE ROOT FOLDER`, where ROOT is the repository and FOLDER takes
//! `record.txt`. With `TROUBLE=0` in the environment the disruption is left out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod drain;
mod leave;
mod restart;
mod rig;
mod sites;

use std::path::PathBuf;

use rig::{COULD_NOT_RUN, Record};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: rig CASE ROOT FOLDER");
        std::process::exit(COULD_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let root = PathBuf::from(root);
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("record.txt: {e}");
            std::process::exit(COULD_NOT_RUN);
        }
    };
    let temporary = std::env::temp_dir().join(format!("sandgw-review-{}", std::process::id()));
    record.say(&format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    let result = std::fs::create_dir_all(&temporary).and_then(|()| match case.as_str() {
        "drain-crowded" => drain::run(&drain::CROWDED, &root, &temporary, &record, trouble),
        "drain-slow" => drain::run(&drain::SLOW, &root, &temporary, &record, trouble),
        "leave" => leave::run(&root, &temporary, &record, trouble),
        "restart" => restart::run(&root, &temporary, &record, trouble),
        _ => Err(std::io::Error::other("unknown case")),
    });
    let _ = std::fs::remove_dir_all(&temporary);
    let code = result.unwrap_or_else(|e| {
        record.say(&format!("the case could not run: {e}"));
        COULD_NOT_RUN
    });
    record.say(&format!("exit {code}"));
    std::process::exit(code);
}
