//! The JSON form of a configuration as merge patches see it: without nulls,
//! since a merge patch uses null to remove.

use serde_json::{Map, Value};

use super::{Configuration, ConfigurationError, ConfigurationProblem, ConfigurationReport, Result};
use crate::prelude::*;

/// Most paths that a change lists; more are counted in the last one.
const MAX_PATHS: usize = 64;
/// Depth to which a patch's paths are written out, such as
/// `workspaces.north.share`.
const MAX_PATH_DEPTH: usize = 3;

/// The JSON form of `source`.
pub(crate) fn document_of(source: &Configuration) -> Result<Value> {
    let mut document = serde_json::to_value(source).map_err(unreadable)?;
    strip_nulls(&mut document);
    Ok(document)
}

/// Reads the JSON form.
pub(crate) fn configuration_of(document: &Value) -> Result<Configuration> {
    Configuration::deserialize(document).map_err(unreadable)
}

/// Reads a merge patch; only an object can change a configuration.
pub(crate) fn patch_of(json: &[u8]) -> Result<Value> {
    let patch: Value = serde_json::from_slice(json).map_err(unreadable)?;
    if patch.is_object() {
        return Ok(patch);
    }
    Err(unreadable("a merge patch is a JSON object"))
}

fn unreadable(error: impl fmt::Display) -> ConfigurationReport {
    ConfigurationReport {
        errors: vec![ConfigurationError {
            path: "configuration".into(),
            problem: ConfigurationProblem::Unreadable(error.to_string()),
            remedy: "see docs/API.md for its form".into(),
        }],
    }
}

fn strip_nulls(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, field| !field.is_null());
            fields.values_mut().for_each(strip_nulls);
        }
        Value::Array(items) => items.iter_mut().for_each(strip_nulls),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {}
    }
}

/// The merge patch that turns `from` into `to`; neither holds a null.
pub(crate) fn difference(from: &Value, to: &Value) -> Value {
    let (Value::Object(from), Value::Object(to)) = (from, to) else {
        return to.clone();
    };
    let mut patch = Map::new();
    for name in from.keys().filter(|name| !to.contains_key(*name)) {
        patch.insert(name.clone(), Value::Null);
    }
    for (name, wanted) in to {
        match from.get(name) {
            Some(held) if held == wanted => {}
            Some(held) => {
                patch.insert(name.clone(), difference(held, wanted));
            }
            None => {
                patch.insert(name.clone(), wanted.clone());
            }
        }
    }
    Value::Object(patch)
}

/// Paths that a merge patch sets or removes, for people to read.
pub(crate) fn paths_of(patch: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    collect_paths(patch, "", 0, &mut paths);
    let more = paths.len().saturating_sub(MAX_PATHS);
    paths.truncate(MAX_PATHS);
    if more > 0 {
        paths.push(format!("and {more} more"));
    }
    paths
}

fn collect_paths(patch: &Value, path: &str, depth: usize, paths: &mut Vec<String>) {
    match patch {
        Value::Object(fields) if depth < MAX_PATH_DEPTH && !fields.is_empty() => {
            for (name, field) in fields {
                let dot = if path.is_empty() { "" } else { "." };
                collect_paths(field, &format!("{path}{dot}{name}"), depth + 1, paths);
            }
        }
        Value::Object(_)
        | Value::Null
        | Value::Bool(_)
        | Value::Number(_)
        | Value::String(_)
        | Value::Array(_) => paths.push(path.to_string()),
    }
}

#[cfg(test)]
#[path = "configuration_document_tests.rs"]
mod tests;
