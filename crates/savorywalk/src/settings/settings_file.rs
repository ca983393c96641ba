use std::path::Path;

use ini::Ini;
use serde_json::{Map, Value};

use super::{
    DaemonSettings, Result, SETTING_KEYS, SettingKey, SettingKind, SettingsError, SettingsProblem,
    SettingsReport, settings_rules,
};
use crate::prelude::*;

/// Reads and checks the settings in `text`; the report names every error.
///
/// Relative paths stay as they are, so that they start at the folder in which
/// the process runs; [`parse_in`] takes them from another one.
pub fn parse(text: &str) -> Result<DaemonSettings> {
    parse_in(text, Path::new(""))
}

/// Reads and checks the settings in `text`; a relative path in them starts at
/// `folder`, which for a settings file is the folder that it lies in.
pub fn parse_in(text: &str, folder: &Path) -> Result<DaemonSettings> {
    let ini = Ini::load_from_str(text).map_err(|error| syntax_report(&error))?;
    let mut errors = unknown_names(&ini);
    let mut sections = Map::new();
    for key in SETTING_KEYS {
        if let Some(properties) = ini.section(Some(key.section)) {
            let value = key_value(key, properties.get(key.name), folder, &mut errors);
            let section = sections
                .entry(key.section)
                .or_insert_with(|| Value::Object(Map::new()));
            if let (Some(value), Value::Object(section)) = (value, section) {
                section.insert(key.name.to_string(), value);
            }
        }
    }
    let settings = match serde_json::from_value(Value::Object(sections)) {
        Ok(settings) => settings,
        Err(error) => return Err(syntax_report(&error)),
    };
    errors.extend(settings_rules::violations(&settings));
    if errors.is_empty() {
        return Ok(settings);
    }
    Err(SettingsReport { errors })
}

/// Every section and key with its meaning and default, as text for `--help`.
pub fn key_reference() -> String {
    let mut text = String::new();
    let mut section = "";
    for key in SETTING_KEYS {
        if key.section != section {
            section = key.section;
            text.push_str(&format!("\n[{section}]\n"));
        }
        let default = match (key.default, key.required) {
            (Some(default), _) => format!(" (default {default})"),
            (None, true) => " (required)".to_string(),
            (None, false) => String::new(),
        };
        text.push_str(&format!("  {}{default}\n      {}\n", key.name, key.doc));
    }
    text
}

fn syntax_report(error: &dyn fmt::Display) -> SettingsReport {
    let error = SettingsError {
        section: "*".into(),
        key: "*".into(),
        problem: SettingsProblem::Syntax(error.to_string()),
        remedy: "write sections as [name] and keys as `key = value`".into(),
    };
    SettingsReport {
        errors: vec![error],
    }
}

fn unknown_names(ini: &Ini) -> Vec<SettingsError> {
    let mut errors = Vec::new();
    for (section, properties) in ini.iter() {
        let Some(section) = section else {
            errors.extend(properties.iter().map(|(key, _)| outside_section(key)));
            continue;
        };
        let known: Vec<&SettingKey> = SETTING_KEYS
            .iter()
            .filter(|key| key.section == section)
            .collect();
        if known.is_empty() {
            errors.push(unknown_section(section));
            continue;
        }
        for (name, _) in properties.iter() {
            if !known.iter().any(|key| key.name == name) {
                errors.push(unknown_key(section, name, &known));
            }
        }
    }
    errors
}

fn outside_section(key: &str) -> SettingsError {
    SettingsError {
        section: "*".into(),
        key: key.into(),
        problem: SettingsProblem::UnknownKey,
        remedy: "put the key below its [section]".into(),
    }
}

fn unknown_section(section: &str) -> SettingsError {
    let mut names: Vec<&str> = SETTING_KEYS.iter().map(|key| key.section).collect();
    names.dedup();
    SettingsError {
        section: section.into(),
        key: "*".into(),
        problem: SettingsProblem::UnknownSection,
        remedy: format!("use one of: {}", names.join(", ")),
    }
}

fn unknown_key(section: &str, name: &str, known: &[&SettingKey]) -> SettingsError {
    let names: Vec<&str> = known.iter().map(|key| key.name).collect();
    SettingsError {
        section: section.into(),
        key: name.into(),
        problem: SettingsProblem::UnknownKey,
        remedy: format!("use one of: {}", names.join(", ")),
    }
}

fn key_value(
    key: &SettingKey,
    text: Option<&str>,
    folder: &Path,
    errors: &mut Vec<SettingsError>,
) -> Option<Value> {
    let Some(text) = text.map(str::trim).or(key.default) else {
        if key.required {
            errors.push(SettingsError {
                section: key.section.into(),
                key: key.name.into(),
                problem: SettingsProblem::Missing,
                remedy: format!("add `{} = …`: {}", key.name, key.doc),
            });
        }
        return None;
    };
    let value = match key.kind {
        SettingKind::Text => Some(Value::from(text)),
        SettingKind::File | SettingKind::Folder => Some(path_value(text, folder)),
        SettingKind::List => Some(list_value(text)),
        SettingKind::Number { min, max } => number_value(text, min, max),
        SettingKind::Flag => text.parse::<bool>().ok().map(Value::from),
    };
    if value.is_none() {
        errors.push(SettingsError {
            section: key.section.into(),
            key: key.name.into(),
            problem: SettingsProblem::BadValue(text.into()),
            remedy: kind_remedy(key.kind),
        });
    }
    value
}

fn path_value(text: &str, folder: &Path) -> Value {
    if text.is_empty() {
        return Value::from(text);
    }
    Value::from(folder.join(text).to_string_lossy())
}

fn list_value(text: &str) -> Value {
    let words = text
        .split(',')
        .map(str::trim)
        .filter(|word| !word.is_empty());
    Value::Array(words.map(Value::from).collect())
}

fn number_value(text: &str, min: u64, max: u64) -> Option<Value> {
    let number = text.replace('_', "").parse::<u64>().ok()?;
    (min..=max).contains(&number).then(|| Value::from(number))
}

fn kind_remedy(kind: SettingKind) -> String {
    match kind {
        SettingKind::Text => "write any text".into(),
        SettingKind::File => "write the path of a file".into(),
        SettingKind::Folder => "write the path of a folder".into(),
        SettingKind::List => "write words separated by commas".into(),
        SettingKind::Number { min, max } => format!("write a whole number from {min} to {max}"),
        SettingKind::Flag => "write true or false".into(),
    }
}

#[cfg(test)]
#[path = "settings_file_tests.rs"]
mod tests;
