//! Checks of what the settings point at; apart from the reading of the
//! settings, so that this alone touches the file system.

use std::fs::File;
use std::io;
use std::path::Path;

use super::{DaemonSettings, SETTING_KEYS, SettingKind, SettingsError, SettingsProblem};
use crate::api::HttpServer;
use crate::prelude::*;

/// Names every file or folder of the settings that can't be used, and every
/// listener whose certificate and key don't belong together.
pub fn path_errors(settings: &DaemonSettings) -> Vec<SettingsError> {
    let mut errors = unusable_paths(settings);
    if errors.is_empty() {
        errors.extend(unusable_certificates(settings));
    }
    errors
}

fn unusable_paths(settings: &DaemonSettings) -> Vec<SettingsError> {
    let mut errors = Vec::new();
    let sections = serde_json::to_value(settings).unwrap_or_default();
    for key in SETTING_KEYS {
        let path = sections[key.section][key.name].as_str().unwrap_or_default();
        if path.is_empty() {
            continue;
        }
        let (usable, remedy) = match key.kind {
            SettingKind::File => (
                usable_file(Path::new(path)),
                "name a file that this user may read; a relative path starts at the settings file's folder",
            ),
            SettingKind::Folder => (
                usable_folder(Path::new(path)),
                "name a folder, or one that can be made below a folder that is there",
            ),
            SettingKind::Text
            | SettingKind::List
            | SettingKind::Number { .. }
            | SettingKind::Time { .. }
            | SettingKind::Fraction { .. }
            | SettingKind::Flag => continue,
        };
        if let Err(error) = usable {
            errors.push(unusable(key.section, key.name, path, &error, remedy));
        }
    }
    errors
}

fn usable_file(path: &Path) -> io::Result<()> {
    match File::open(path)?.metadata()?.is_file() {
        true => Ok(()),
        false => Err(io::Error::other("it is not a file")),
    }
}

/// A folder that is there, or could be made: the nearest parent that is there
/// must be a folder.
fn usable_folder(path: &Path) -> io::Result<()> {
    let nearest = path.ancestors().find(|ancestor| ancestor.exists());
    match nearest.is_none_or(Path::is_dir) {
        true => Ok(()),
        false => Err(io::Error::other("it is not a folder")),
    }
}

fn unusable_certificates(settings: &DaemonSettings) -> Vec<SettingsError> {
    let listeners = [
        ("callers", &settings.callers),
        ("operators", &settings.operators),
        ("endpoints", &settings.endpoints),
    ];
    let mut errors = Vec::new();
    for (section, listener) in listeners {
        let Some(listener) = listener else { continue };
        if let Err(error) = HttpServer::check_certificate(listener) {
            let remedy = "name PEM files of a certificate and of the key that it was made for";
            errors.push(unusable(
                section,
                "certificate",
                &listener.certificate,
                &error,
                remedy,
            ));
        }
    }
    errors
}

fn unusable(
    section: &str,
    key: &str,
    path: &str,
    reason: &dyn fmt::Display,
    remedy: &str,
) -> SettingsError {
    SettingsError {
        section: section.into(),
        key: key.into(),
        problem: SettingsProblem::Unusable {
            path: path.into(),
            reason: reason.to_string(),
        },
        remedy: remedy.into(),
    }
}
