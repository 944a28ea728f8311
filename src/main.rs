//! The program: runs a relay, or writes and checks the configuration of one.

#![forbid(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use sandgw::config::{Config, ConfigError, Environment, new_application};
use sandgw::{logger, net};

/// A relay for long-lived subtitle connections.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// Log more: what happens to each flow.
    #[arg(short, long, global = true)]
    verbose: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Run a relay; what an application's file says goes over the platform's configuration. The default,
    /// without a file.
    Run {
        /// The application's file.
        file: Option<PathBuf>,
    },
    /// Write or check configuration.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
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
    let done = match arguments.command.unwrap_or(Command::Run { file: None }) {
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
        Command::Config { command: ConfigCommand::Check { files } } => check(&environment, &files),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(faults) => {
            faults.iter().for_each(|e| eprintln!("sandgw: {e}"));
            ExitCode::FAILURE
        }
    }
}

fn run(environment: &Environment, file: Option<&Path>) -> Result<(), Vec<ConfigError>> {
    let config = Config::load(environment, file)?;
    let failed = |e: std::io::Error| {
        vec![ConfigError { file: "relay".into(), key: "start".into(), reason: e.to_string() }]
    };
    let (environment, file) = (environment.clone(), file.map(Path::to_owned));
    net::run(config, move || Config::load(&environment, file.as_deref())).map_err(failed)
}

fn check(environment: &Environment, files: &[PathBuf]) -> Result<(), Vec<ConfigError>> {
    let mut faults = Vec::new();
    for file in files {
        match Config::load(environment, Some(file)) {
            Ok(_) => println!("{}: no fault", file.display()),
            Err(own) => faults.extend(own),
        }
    }
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}
