use std::fs;
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::{BenchError, Result};

/// Where reports and plots go, when the user named a folder.
#[derive(Clone, Debug)]
pub(crate) struct ReportFolder {
    path: Option<PathBuf>,
}

impl ReportFolder {
    pub(crate) fn new(path: Option<PathBuf>) -> Result<Self> {
        if let Some(path) = &path {
            fs::create_dir_all(path).map_err(|error| failed(path, &error))?;
        }
        Ok(Self { path })
    }

    pub(crate) fn write_json(&self, name: &str, report: &impl Serialize) -> Result<()> {
        let Some(path) = self.file(name) else {
            return Ok(());
        };
        let text = serde_json::to_string_pretty(report).map_err(|error| failed(&path, &error))?;
        fs::write(&path, text).map_err(|error| failed(&path, &error))
    }

    /// Path of a file in the folder; `None` when there is no folder.
    pub(crate) fn file(&self, name: &str) -> Option<PathBuf> {
        self.path.as_ref().map(|path| path.join(name))
    }
}

pub(crate) fn failed(path: &Path, error: &dyn std::fmt::Display) -> BenchError {
    BenchError::Report {
        path: path.to_path_buf(),
        error: error.to_string(),
    }
}
