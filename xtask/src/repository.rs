//! Where the repository lies and which files it has.

use std::path::{Path, PathBuf};
use std::{env, fs, io};

/// The root of the repository.
pub(crate) fn root() -> PathBuf {
    let manifest = env::var("CARGO_MANIFEST_DIR").unwrap_or_else(|_| "xtask".into());
    Path::new(&manifest)
        .parent()
        .unwrap_or(Path::new("."))
        .to_path_buf()
}

/// Files below `folder` with this extension, in order.
pub(crate) fn files(folder: &Path, extension: &str) -> io::Result<Vec<PathBuf>> {
    let mut found = Vec::new();
    let mut folders = vec![folder.to_path_buf()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|found| found == extension) {
                found.push(path);
            }
        }
    }
    found.sort();
    Ok(found)
}
