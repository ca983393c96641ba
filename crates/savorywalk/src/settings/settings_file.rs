use std::path::Path;

use ini::Ini;
use serde_json::{Map, Value};

use super::figure_reader::{self, ReadFigure};
use super::{
    AdjustmentReason, DaemonSettings, Result, SETTING_KEYS, SettingAdjustment, SettingKey,
    SettingKind, SettingsError, SettingsProblem, SettingsReport, settings_rules,
};
use crate::prelude::*;

/// Settings that were read, and what was taken otherwise than written.
#[derive(Clone, Debug)]
pub struct SettingsReading {
    /// The settings.
    pub settings: DaemonSettings,
    /// One note for each value that was not taken as it was written.
    pub adjustments: Vec<SettingAdjustment>,
}

/// Reads and checks the settings in `text`; the report names every error.
///
/// Relative paths stay as they are, so that they start at the folder in which
/// the process runs; [`parse_in`] takes them from another one, and tells what
/// was not taken as it was written.
pub fn parse(text: &str) -> Result<DaemonSettings> {
    parse_in(text, Path::new("")).map(|reading| reading.settings)
}

/// Reads and checks the settings in `text`; a relative path in them starts at
/// `folder`, which for a settings file is the folder that it lies in.
pub fn parse_in(text: &str, folder: &Path) -> Result<SettingsReading> {
    let ini = Ini::load_from_str(text).map_err(|error| syntax_report(&error))?;
    let mut errors = unknown_names(&ini);
    let mut adjustments = Vec::new();
    let mut sections = Map::new();
    for key in SETTING_KEYS {
        if let Some(properties) = ini.section(Some(key.section)) {
            let section = sections
                .entry(key.section)
                .or_insert_with(|| Value::Object(Map::new()));
            let Value::Object(section) = section else {
                continue;
            };
            match key_value(key, properties.get(key.name), folder) {
                Ok(Some(KeyValue { value, adjustment })) => {
                    section.insert(key.name.to_string(), value);
                    adjustments.extend(adjustment);
                }
                Ok(None) => {}
                Err(error) => errors.push(error),
            }
        }
    }
    let settings = match serde_json::from_value(Value::Object(sections)) {
        Ok(settings) => settings,
        Err(error) => return Err(syntax_report(&error)),
    };
    errors.extend(settings_rules::violations(&settings));
    if errors.is_empty() {
        return Ok(SettingsReading {
            settings,
            adjustments,
        });
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

/// The value of one key, and how it differs from what was written.
struct KeyValue {
    value: Value,
    adjustment: Option<SettingAdjustment>,
}

/// The value of `key`, from the file or from its default; `None` when the file
/// may leave it out and there is no default.
fn key_value(
    key: &SettingKey,
    given: Option<&str>,
    folder: &Path,
) -> std::result::Result<Option<KeyValue>, SettingsError> {
    let given = given.map(str::trim);
    let left_empty = given.filter(|text| is_left_empty(key.kind, text));
    let Some(text) = given.filter(|_| left_empty.is_none()).or(key.default) else {
        return match key.required {
            true => Err(missing_key(key)),
            false => Ok(None),
        };
    };
    let Some((value, reason)) = read_value(key.kind, text, folder) else {
        return Err(SettingsError {
            section: key.section.into(),
            key: key.name.into(),
            problem: SettingsProblem::BadValue(text.into()),
            remedy: kind_remedy(key.kind),
        });
    };
    let reason = left_empty.map(|_| AdjustmentReason::LeftEmpty).or(reason);
    let adjustment = reason.map(|reason| SettingAdjustment {
        section: key.section,
        key: key.name,
        given: given.unwrap_or_default().into(),
        taken: value.to_string(),
        reason,
    });
    Ok(Some(KeyValue { value, adjustment }))
}

fn is_left_empty(kind: SettingKind, text: &str) -> bool {
    match kind {
        SettingKind::Number { .. } | SettingKind::Time { .. } | SettingKind::Fraction { .. } => {
            figure_reader::is_empty(text)
        }
        SettingKind::Flag => text.is_empty(),
        SettingKind::Text | SettingKind::File | SettingKind::Folder | SettingKind::List => false,
    }
}

fn missing_key(key: &SettingKey) -> SettingsError {
    SettingsError {
        section: key.section.into(),
        key: key.name.into(),
        problem: SettingsProblem::Missing,
        remedy: format!("add `{} = …`: {}", key.name, key.doc),
    }
}

fn read_value(
    kind: SettingKind,
    text: &str,
    folder: &Path,
) -> Option<(Value, Option<AdjustmentReason>)> {
    match kind {
        SettingKind::Text => Some((Value::from(text), None)),
        SettingKind::File | SettingKind::Folder => Some((path_value(text, folder), None)),
        SettingKind::List => Some((list_value(text), None)),
        SettingKind::Number { min, max } => {
            let number = figure_reader::whole(text, min, max)?;
            Some((Value::from(number), None))
        }
        SettingKind::Time {
            min_ms,
            max_ms,
            safe,
        } => figure_reader::time_ms(text, min_ms, max_ms, safe).map(figure_value),
        SettingKind::Fraction { min, max, safe } => {
            figure_reader::fraction(text, min, max, safe).map(figure_value)
        }
        SettingKind::Flag => {
            let flag = text.parse::<bool>().ok()?;
            Some((Value::from(flag), None))
        }
    }
}

fn figure_value<T: Into<Value>>(figure: ReadFigure<T>) -> (Value, Option<AdjustmentReason>) {
    (figure.value.into(), figure.reason)
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

fn kind_remedy(kind: SettingKind) -> String {
    match kind {
        SettingKind::Text => "write any text".into(),
        SettingKind::File => "write the path of a file".into(),
        SettingKind::Folder => "write the path of a folder".into(),
        SettingKind::List => "write words separated by commas".into(),
        SettingKind::Number { min, max } => format!("write a whole number from {min} to {max}"),
        SettingKind::Time { min_ms, max_ms, .. } => format!(
            "write a time from {min_ms} to {max_ms} ms, such as `{max_ms}` or `{}`; units are ms, s, min and h",
            seconds(max_ms)
        ),
        SettingKind::Fraction { min, max, .. } => format!("write a number from {min} to {max}"),
        SettingKind::Flag => "write true or false".into(),
    }
}

fn seconds(time_ms: u64) -> String {
    format!("{} s", time_ms as f64 / 1_000.0)
}

#[cfg(test)]
#[path = "settings_file_tests.rs"]
mod tests;
