use std::path::{Path, PathBuf};

use savorywalk::configuration::{
    ConfigurationReport, ConfigurationSnapshot, configuration_from_json,
};
use savorywalk::settings::{self, DaemonSettings, SettingsReading};

use crate::check_report::{CheckProblem, CheckReport};
use crate::report_writer::ReportWriter;
use crate::{CommandError, Result};

/// Version of a configuration that comes from a file and not from control.
const FILE_VERSION: u64 = 1;

/// Checks a settings file and what it points at.
pub(crate) fn run(file: &Path) -> Result<()> {
    let mut report = ReportWriter::stdout();
    if file == Path::new("-") {
        report.line(format_args!("{}", settings::key_reference().trim_start()));
        return report.finish();
    }
    let reading = read_checked(file)?;
    for adjustment in reading.adjustments {
        report.line(format_args!("note: {adjustment}"));
    }
    report.line(format_args!("{}: no errors", file.display()));
    report.finish()
}

/// Reads a settings file and checks it with what it points at.
pub(crate) fn read_checked(file: &Path) -> Result<SettingsReading> {
    let reading = read_settings(file)?;
    let problems = pointed_problems(&reading.settings);
    if problems.is_empty() {
        return Ok(reading);
    }
    Err(report(file, problems))
}

/// Reads a settings file; a relative path in it starts at the file's folder.
pub(crate) fn read_settings(file: &Path) -> Result<SettingsReading> {
    let text = read(file)?;
    let folder = file.parent().unwrap_or(Path::new(""));
    settings::parse_in(&text, folder).map_err(|wrong| report(file, wrong.errors))
}

/// Reads the configuration file that `[entry]` names.
pub(crate) fn read_configuration(settings: &DaemonSettings) -> Result<ConfigurationSnapshot> {
    let Some((_, file)) = configuration_files(settings)
        .into_iter()
        .find(|(section, _)| *section == "entry")
    else {
        return Ok(ConfigurationSnapshot::build(0, Default::default())?);
    };
    let text = read(&file)?;
    Ok(build(&text)?)
}

/// Errors in the files, folders, certificates and configurations that the
/// settings point at.
fn pointed_problems(settings: &DaemonSettings) -> Vec<CheckProblem> {
    let paths = settings::path_errors(settings).into_iter();
    let mut problems: Vec<CheckProblem> = paths.map(CheckProblem::from).collect();
    for (section, file) in configuration_files(settings) {
        let Ok(text) = read(&file) else { continue };
        let Err(wrong) = build(&text) else { continue };
        let errors = wrong.errors.into_iter();
        problems.extend(errors.map(|error| CheckProblem::Configuration {
            section,
            file: file.clone(),
            error,
        }));
    }
    problems
}

/// Configuration files that the settings name, with their sections.
fn configuration_files(settings: &DaemonSettings) -> Vec<(&'static str, PathBuf)> {
    let entry = settings.entry.as_ref().map(|entry| &entry.configuration);
    let control = settings
        .control
        .as_ref()
        .map(|control| &control.configuration);
    [("entry", entry), ("control", control)]
        .into_iter()
        .filter_map(|(section, file)| Some((section, file.filter(|file| !file.is_empty())?)))
        .map(|(section, file)| (section, PathBuf::from(file)))
        .collect()
}

fn build(text: &str) -> std::result::Result<ConfigurationSnapshot, ConfigurationReport> {
    let source = configuration_from_json(text.as_bytes())?;
    ConfigurationSnapshot::build(FILE_VERSION, source)
}

fn report<P: Into<CheckProblem>>(file: &Path, problems: Vec<P>) -> CommandError {
    CommandError::Check(CheckReport {
        file: file.to_path_buf(),
        problems: problems.into_iter().map(Into::into).collect(),
    })
}

/// Reads a text file.
pub(crate) fn read(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).map_err(|error| CommandError::Unreadable {
        file: file.to_path_buf(),
        error,
    })
}
