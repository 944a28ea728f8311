//! New application files.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};

use super::errors::{ConfigError, Fault, config_error};
use super::file::WHOLE_FILE;

/// What a new application file says.
const TEMPLATE: &str = include_str!("../application.toml");
/// What stands for the application's name in it.
const PLACEHOLDER: &str = "APPLICATION";
/// The folder that files are written into.
const FOLDER: &str = "deploy";

/// Writes a commented application file that is valid as it stands, into `deploy/` below `folder`. A file
/// that is there already is never overwritten.
///
/// # Errors
///
/// The name makes no file name, or the file is there already or can't be written.
pub fn new_application(folder: &Path, name: &str) -> Result<PathBuf, ConfigError> {
    let is_plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if name.is_empty() || !name.bytes().all(is_plain) {
        return Err(config_error(name, "APP", Fault::Name));
    }
    let path = folder.join(FOLDER).join(format!("{name}.toml"));
    let written = fs::create_dir_all(folder.join(FOLDER)).and_then(|()| {
        let mut file = fs::File::create_new(&path)?;
        file.write_all(TEMPLATE.replace(PLACEHOLDER, name).as_bytes())
    });
    match written {
        Ok(()) => Ok(path),
        Err(error) => Err(config_error(&path.display().to_string(), WHOLE_FILE, Fault::Unwritable(error))),
    }
}
