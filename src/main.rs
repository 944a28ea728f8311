//! The program `sandgw`: runs a relay, writes and checks configuration files, and maintains the folder in
//! which a relay stores clients and groups.

#![forbid(unsafe_code)]

use std::fmt::Display;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use sandgw::config::{Config, ConfigError, Environment, Fault, new_application};
use sandgw::help::with_help;
use sandgw::{logger, net};
use sandgw_affinity_store::{Store, StoreError, commands};

/// A relay for long-lived subtitle connections.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// Log more: what happens to each connection.
    #[arg(short, long, global = true)]
    verbose: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Run a relay (the default command). An application's file takes precedence over the platform's
    /// configuration.
    Run {
        /// The application's file.
        file: Option<PathBuf>,
    },
    /// Write or check configuration.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Inspect, verify, export or import the folder that stores clients and groups. No relay may be running on
    /// it.
    State {
        #[command(subcommand)]
        command: StateCommand,
    },
}

#[derive(Subcommand)]
enum StateCommand {
    /// Sum up what is kept: endpoints by what they hold, and the largest groups.
    Show {
        /// The folder.
        folder: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// How many of the largest groups.
        #[arg(long, default_value_t = 10)]
        groups: usize,
    },
    /// Check every page and every record.
    Verify {
        /// The folder.
        folder: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Write everything as lines of JSON.
    Export {
        /// The folder.
        folder: PathBuf,
        /// Where to; standard output without it. A file that is there is not overwritten.
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Take lines of JSON, over what is there: all or none.
    Import {
        /// The folder.
        folder: PathBuf,
        /// Where from; standard input without it.
        #[arg(long)]
        from: Option<PathBuf>,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Say of which form the file is, or move it to another one, before an older version starts on it.
    #[command(name = "form")]
    SchemaVersion {
        /// The folder.
        folder: PathBuf,
        /// The form to move the file to.
        #[arg(long)]
        to: Option<u64>,
    },
    /// Give unused room in the file back.
    Compact {
        /// The folder.
        folder: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Write a commented file for an application, deploy/APP.toml.
    New {
        /// The application's name.
        app: String,
    },
    /// Report every fault of application files.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    logger::start(if arguments.verbose { log::LevelFilter::Debug } else { log::LevelFilter::Info });
    let environment: Environment = std::env::vars().collect();
    let result = match arguments.command.unwrap_or(Command::Run { file: None }) {
        Command::Run { file } => run(&environment, file.as_deref()),
        Command::Config { command: ConfigCommand::New { app } } => {
            match new_application(Path::new("."), &app) {
                Ok(path) => {
                    println!("{}", path.display());
                    Ok(())
                }
                Err(e) => Err(vec![e]),
            }
        }
        Command::Config { command: ConfigCommand::Check { files } } => check_files(&environment, &files),
        Command::State { command } => run_state_command(command).map_err(|e| vec![e]),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(faults) => {
            faults.iter().for_each(|e| eprintln!("sandgw: {}", with_help(e)));
            ExitCode::FAILURE
        }
    }
}

fn run(environment: &Environment, file: Option<&Path>) -> Result<(), Vec<ConfigError>> {
    let config = Config::load(environment, file)?;
    let start_error = |e: std::io::Error| {
        vec![ConfigError { file: "relay".into(), key: "start".into(), fault: Fault::Start(e) }]
    };
    let (environment, file) = (environment.clone(), file.map(Path::to_owned));
    net::run(config, move || Config::load(&environment, file.as_deref())).map_err(start_error)
}

fn check_files(environment: &Environment, files: &[PathBuf]) -> Result<(), Vec<ConfigError>> {
    let mut faults = Vec::new();
    for file in files {
        match Config::load(environment, Some(file)) {
            Ok(_) => println!("{}: no fault", file.display()),
            Err(file_faults) => faults.extend(file_faults),
        }
    }
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}

/// Builds the error of a command on a state folder; `path` is the folder, or the file that the command
/// imports or exports.
fn folder_error(path: &Path, reason: impl Display) -> ConfigError {
    ConfigError {
        file: path.display().to_string(),
        key: "state.folder".into(),
        fault: Fault::StateFolder(reason.to_string()),
    }
}

fn print_result(json: bool, text: &str, value: &serde_json::Value) {
    if json { println!("{value}") } else { println!("{text}") }
}

/// Runs a command on a state folder.
fn run_state_command(command: StateCommand) -> Result<(), ConfigError> {
    match command {
        StateCommand::Show { folder, json, groups } => show(&folder, json, groups),
        StateCommand::Verify { folder, json } => verify(&folder, json),
        StateCommand::Export { folder, to } => export(&folder, to.as_deref()),
        StateCommand::Import { folder, from, json } => import(&folder, from.as_deref(), json),
        StateCommand::SchemaVersion { folder, to } => schema_version(&folder, to),
        StateCommand::Compact { folder, json } => compact(&folder, json),
    }
}

fn show(folder: &Path, json: bool, groups: usize) -> Result<(), ConfigError> {
    let summary = commands::show(folder, groups).map_err(|e| folder_error(folder, e))?;
    let value = serde_json::to_value(&summary).map_err(|e| folder_error(folder, e))?;
    print_result(json, &format_summary(&summary), &value);
    Ok(())
}

fn verify(folder: &Path, json: bool) -> Result<(), ConfigError> {
    let loaded = commands::verify(folder).map_err(|e| folder_error(folder, e))?;
    let text = format!("{} records, {} damaged", loaded.records, loaded.damaged);
    let value = serde_json::json!({"records": loaded.records, "damaged": loaded.damaged});
    print_result(json, &text, &value);
    if loaded.damaged > 0 {
        return Err(folder_error(folder, format!("{} records are damaged", loaded.damaged)));
    }
    Ok(())
}

fn export(folder: &Path, to: Option<&Path>) -> Result<(), ConfigError> {
    let lines = match to {
        Some(path) => export_to_file(folder, path)?,
        None => {
            let mut output = std::io::stdout().lock();
            commands::export(folder, &mut output).map_err(|e| folder_error(folder, e))?
        }
    };
    eprintln!("{lines} lines");
    Ok(())
}

/// Exports to a new file and returns the number of lines. The file gets its name only after the export is
/// complete, so that a partial export is never mistaken for a complete one.
fn export_to_file(folder: &Path, path: &Path) -> Result<u64, ConfigError> {
    let partial = path.with_extension("part");
    let file = std::fs::File::create_new(&partial).map_err(|e| folder_error(&partial, e))?;
    let exported = export_and_link(folder, file, &partial, path);
    let _ = std::fs::remove_file(&partial);
    exported
}

fn export_and_link(
    folder: &Path,
    file: std::fs::File,
    partial: &Path,
    path: &Path,
) -> Result<u64, ConfigError> {
    let mut output = std::io::BufWriter::new(file);
    let lines = commands::export(folder, &mut output).map_err(|e| folder_error(folder, e))?;
    output.flush().map_err(|e| folder_error(partial, e))?;
    std::fs::hard_link(partial, path).map_err(|e| folder_error(path, e))?;
    Ok(lines)
}

fn import(folder: &Path, from: Option<&Path>, json: bool) -> Result<(), ConfigError> {
    let lines = match from {
        Some(path) => {
            let file = std::fs::File::open(path).map_err(|e| folder_error(path, e))?;
            let input = std::io::BufReader::new(file);
            commands::import(folder, input).map_err(|e| folder_error(path, e))?
        }
        None => commands::import(folder, std::io::stdin().lock()).map_err(|e| folder_error(folder, e))?,
    };
    print_result(json, &format!("{lines} lines taken"), &serde_json::json!({"lines": lines}));
    Ok(())
}

fn schema_version(folder: &Path, to: Option<u64>) -> Result<(), ConfigError> {
    let error = |e: StoreError| folder_error(folder, format!("{e}; {}", e.help()));
    let store = Store::open_existing(folder).map_err(error)?;
    if let Some(version) = to {
        store.migrate(version).map_err(error)?;
    }
    let version = store.version().map_err(error)?;
    let finalized = store.finalized_version().map_err(error)?;
    println!("form {version}, finalized {finalized}");
    Ok(())
}

fn compact(folder: &Path, json: bool) -> Result<(), ConfigError> {
    let sizes = commands::compact(folder).map_err(|e| folder_error(folder, e))?;
    let (before, after) = (sizes.before_bytes, sizes.after_bytes);
    let text = format!("{before} bytes before, {after} after");
    print_result(json, &text, &serde_json::json!({"bytes_before": before, "bytes_after": after}));
    Ok(())
}

/// Formats the summary of a state folder as text.
fn format_summary(summary: &commands::Summary) -> String {
    let age = |at: Option<f64>| {
        at.map_or("none".into(), |at| format!("{:.1} s", (summary.newest_ms.unwrap_or(at) - at) / 1000.0))
    };
    let mut text = format!(
        "{} clients, {} groups, {} damaged records, {} bytes; from the oldest entry to the newest {}\n",
        summary.clients,
        summary.groups,
        summary.damaged,
        summary.file_bytes,
        age(summary.oldest_ms)
    );
    text += "\nstreamer                          clients   groups     load\n";
    for row in &summary.holders {
        text += &format!("{:<32} {:>8} {:>8} {:>8.1}\n", row.endpoint, row.clients, row.groups, row.load);
    }
    text += "\ngroup                load  streamers\n";
    for row in &summary.largest {
        text += &format!("{} {:>8.1}  {}\n", row.key, row.load, row.holders.join(" "));
    }
    text.trim_end().to_owned()
}
