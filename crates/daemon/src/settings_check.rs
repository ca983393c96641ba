use std::path::Path;

use savorywalk::configuration::{ConfigurationSnapshot, configuration_from_json};
use savorywalk::settings::{self, DaemonSettings};

use crate::{CommandError, Result};

/// Version of a configuration that comes from a file and not from control.
const FILE_VERSION: u64 = 1;

/// Checks a settings file and what it points at.
pub(crate) fn run(file: &Path) -> Result<()> {
    if file == Path::new("-") {
        print!("{}", settings::key_reference());
        return Ok(());
    }
    let settings = read_settings(file)?;
    read_configuration(&settings)?;
    println!("{}: no errors", file.display());
    Ok(())
}

/// Reads a settings file.
pub(crate) fn read_settings(file: &Path) -> Result<DaemonSettings> {
    let text = read(file)?;
    Ok(settings::parse(&text)?)
}

/// Reads the configuration file that the settings name.
pub(crate) fn read_configuration(settings: &DaemonSettings) -> Result<ConfigurationSnapshot> {
    let file = settings
        .entry
        .as_ref()
        .map(|entry| entry.configuration.as_str());
    let Some(file) = file.filter(|file| !file.is_empty()) else {
        return Ok(ConfigurationSnapshot::build(0, Default::default())?);
    };
    let text = read(Path::new(file))?;
    let source = configuration_from_json(text.as_bytes())?;
    Ok(ConfigurationSnapshot::build(FILE_VERSION, source)?)
}

fn read(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).map_err(|error| CommandError::Unreadable {
        file: file.to_path_buf(),
        error,
    })
}
