//! Generates the library's message types with no outside program, so that a
//! fresh machine needs only cargo. See docs/design/schema.md.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::{env, fs, process};

use prost_types::FileDescriptorSet;

use crate::{repository, settings_page, settings_table};

const GENERATED_FOLDER: &str = "crates/savorywalk/src/generated";
const SETTINGS_PAGE: &str = "docs/operators/settings.md";
const JSON_PACKAGES: [&str; 2] = [".savorywalk.settings", ".savorywalk.configuration"];
const JSON_MESSAGES: [&str; 8] = [
    ".savorywalk.control.AuditRecord",
    ".savorywalk.control.AuditReply",
    ".savorywalk.control.ConfigurationFault",
    ".savorywalk.control.ControlStatus",
    ".savorywalk.control.HistoryReply",
    ".savorywalk.control.PatchAccepted",
    ".savorywalk.control.VersionChange",
    ".savorywalk.control.VersionMismatch",
];
/// Keys of sorted maps.
const CLAIM_KEY: &str = ".savorywalk.claims.ClaimKey";
const STAGE_KIND_FIELD: &str = ".savorywalk.configuration.PoolConfiguration.kind";

type Result<T> = std::result::Result<T, Box<dyn Error>>;
type FileTexts = BTreeMap<String, String>;

/// Writes the generated files.
pub(crate) fn write() -> Result<()> {
    fs::create_dir_all(repository::root().join(GENERATED_FOLDER))?;
    for (path, text) in files()? {
        fs::write(path, text)?;
    }
    Ok(())
}

/// Exits with 1 when a committed file differs from what the schema gives.
pub(crate) fn check() -> Result<()> {
    let mut stale = Vec::new();
    for (path, text) in files()? {
        if fs::read_to_string(&path).ok().as_deref() != Some(&text) {
            stale.push(path.display().to_string());
        }
    }
    if stale.is_empty() {
        return Ok(());
    }
    eprintln!(
        "generated files are stale: {}; run `cargo xtask generate` and commit",
        stale.join(", ")
    );
    process::exit(1);
}

/// Every generated file: the library's code and the operators' page.
fn files() -> Result<Vec<(PathBuf, String)>> {
    let root = repository::root();
    let descriptors = descriptors()?;
    let folder = root.join(GENERATED_FOLDER);
    let texts = texts(&descriptors)?.into_iter();
    let mut files: Vec<_> = texts
        .map(|(name, text)| (folder.join(name), text))
        .collect();
    let page = root.join(SETTINGS_PAGE);
    let text = settings_page::text(&fs::read_to_string(&page)?, &descriptors);
    files.push((page, text.ok_or("the settings page has lost its marks")?));
    Ok(files)
}

fn texts(descriptors: &FileDescriptorSet) -> Result<FileTexts> {
    let out = env::temp_dir().join(format!("savorywalk-generate-{}", process::id()));
    fs::create_dir_all(&out)?;
    let result = messages(descriptors, &out);
    fs::remove_dir_all(&out)?;
    let mut texts = result?;
    texts.insert(
        "settings_table.rs".into(),
        settings_table::text(descriptors),
    );
    let modules = module_text(&texts);
    texts.insert("mod.rs".into(), modules);
    Ok(texts)
}

fn descriptors() -> Result<FileDescriptorSet> {
    let folder = repository::root().join("schema");
    let mut files = Vec::new();
    for entry in fs::read_dir(&folder)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "proto")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(protox::compile(files, [folder])?)
}

fn messages(descriptors: &FileDescriptorSet, out: &Path) -> Result<FileTexts> {
    let mut config = prost_build::Config::new();
    config.out_dir(out).btree_map(["."]).bytes(["."]);
    for package in JSON_PACKAGES {
        config.message_attribute(package, "#[derive(serde::Serialize, serde::Deserialize)]");
        config.message_attribute(package, "#[serde(default, deny_unknown_fields)]");
    }
    config.message_attribute(CLAIM_KEY, "#[derive(PartialOrd, Ord)]");
    for message in JSON_MESSAGES {
        config.message_attribute(message, "#[derive(serde::Serialize, serde::Deserialize)]");
    }
    config.field_attribute(
        STAGE_KIND_FIELD,
        "#[serde(with = \"crate::configuration::stage_kind_text\")]",
    );
    config.compile_fds(descriptors.clone())?;
    let mut texts = FileTexts::new();
    for entry in fs::read_dir(out)? {
        let path = entry?.path();
        let stem = path
            .file_stem()
            .and_then(|stem| stem.to_str())
            .unwrap_or_default();
        let name = stem.rsplit('.').next().unwrap_or(stem);
        texts.insert(format!("{name}.rs"), fs::read_to_string(&path)?);
    }
    Ok(texts)
}

fn module_text(texts: &FileTexts) -> String {
    let mut text = String::from(
        "//! Code generated from schema/*.proto by `cargo xtask generate`; not edited by hand.\n\n\
         #![allow(clippy::all, missing_docs, unreachable_pub)]\n\n",
    );
    for name in texts.keys() {
        text.push_str(&format!("pub mod {};\n", name.trim_end_matches(".rs")));
    }
    text
}
