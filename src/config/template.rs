//! Writes new application files from a template.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};

use super::errors::{ConfigError, Fault, config_error};
use super::file::WHOLE_FILE;

/// Contents of a new application file.
const TEMPLATE: &str = include_str!("../application.toml");
/// Stands in the template for the application's name.
const PLACEHOLDER: &str = "APPLICATION";
/// Folder into which application files are written.
const DEPLOY_FOLDER: &str = "deploy";

/// Writes a commented, valid application file into `deploy/` below `folder`. An existing file is never
/// overwritten.
///
/// # Errors
///
/// The name has characters that are not allowed, or the file exists already or can't be written.
pub fn new_application(folder: &Path, name: &str) -> Result<PathBuf, ConfigError> {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if name.is_empty() || !name.bytes().all(is_allowed) {
        return Err(config_error(name, "APP", Fault::InvalidName));
    }
    let path = folder.join(DEPLOY_FOLDER).join(format!("{name}.toml"));
    let result = fs::create_dir_all(folder.join(DEPLOY_FOLDER)).and_then(|()| {
        let mut file = fs::File::create_new(&path)?;
        file.write_all(TEMPLATE.replace(PLACEHOLDER, name).as_bytes())
    });
    match result {
        Ok(()) => Ok(path),
        Err(error) => Err(config_error(&path.display().to_string(), WHOLE_FILE, Fault::Unwritable(error))),
    }
}
