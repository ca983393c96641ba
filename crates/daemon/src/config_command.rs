use std::path::Path;

use bytes::Bytes;
use hyper::Method;
use savorywalk::control::{HistoryReply, VersionChange};
use savorywalk::telemetry::time_text;
use serde_json::{Value, json};

use crate::arguments::{Config, ConfigCmd, Get, History, Patch, Rollback};
use crate::operator_client::{ChangeRequest, OperatorClient, OperatorReply};
use crate::operator_error::OperatorError;
use crate::report_writer::ReportWriter;
use crate::{CommandError, Result};

const DEFAULT_LIMIT: u64 = 100;

/// Runs `savorywalk config`.
pub(crate) async fn run(arguments: Config) -> Result<()> {
    match arguments.subcommand {
        ConfigCmd::Get(arguments) => get(arguments).await,
        ConfigCmd::Patch(arguments) => patch(arguments).await,
        ConfigCmd::Rollback(arguments) => rollback(arguments).await,
        ConfigCmd::History(arguments) => history(arguments).await,
    }
}

/// Prints the configuration; its version goes to standard error, so that the
/// output is the JSON alone.
async fn get(arguments: Get) -> Result<()> {
    let client = OperatorClient::new(arguments.entry, &arguments.token_file)?;
    let reply = client.get("/v1/config").await?;
    let document: Value = serde_json::from_slice(&reply.body).map_err(OperatorError::BadAnswer)?;
    let mut report = ReportWriter::stdout();
    report.line(format_args!("{document:#}"));
    eprintln!("version {}", reply.version.unwrap_or_default());
    report.finish()
}

async fn patch(arguments: Patch) -> Result<()> {
    let client = OperatorClient::new(arguments.entry, &arguments.token_file)?;
    let change = ChangeRequest {
        method: Method::PATCH,
        path: "/v1/config",
        version: arguments.version,
        id: arguments.id,
        body: read_patch(&arguments.file)?,
    };
    write_version(&client.change(change).await?)
}

async fn rollback(arguments: Rollback) -> Result<()> {
    let client = OperatorClient::new(arguments.entry, &arguments.token_file)?;
    let change = ChangeRequest {
        method: Method::POST,
        path: "/v1/config/rollback",
        version: arguments.version,
        id: arguments.id,
        body: json!({"to": arguments.to}).to_string().into(),
    };
    write_version(&client.change(change).await?)
}

async fn history(arguments: History) -> Result<()> {
    let client = OperatorClient::new(arguments.entry, &arguments.token_file)?;
    let after = arguments.after.unwrap_or(0);
    let limit = arguments.limit.unwrap_or(DEFAULT_LIMIT);
    let path = format!("/v1/config/history?after={after}&limit={limit}");
    let reply = client.get(&path).await?;
    let history: HistoryReply =
        serde_json::from_slice(&reply.body).map_err(OperatorError::BadAnswer)?;
    let mut report = ReportWriter::stdout();
    for change in &history.changes {
        write_change(&mut report, change);
    }
    report.line(format_args!(
        "version {} is in force; versions from {} on can be rolled back to",
        history.current_version, history.oldest_version
    ));
    report.finish()
}

fn write_change(report: &mut ReportWriter<std::io::Stdout>, change: &VersionChange) {
    report.line(format_args!(
        "{:>6}  {}  {}  {}",
        change.version,
        time_text(change.stamp_ms),
        change.author,
        change.paths.join(", ")
    ));
}

fn write_version(reply: &OperatorReply) -> Result<()> {
    let mut report = ReportWriter::stdout();
    let version = reply.version.unwrap_or_default();
    report.line(format_args!("version {version} is accepted"));
    report.finish()
}

/// Reads a patch and finds broken JSON before it is sent.
fn read_patch(file: &Path) -> Result<Bytes> {
    let text = std::fs::read_to_string(file).map_err(|error| CommandError::Unreadable {
        file: file.to_path_buf(),
        error,
    })?;
    match serde_json::from_str(&text) {
        Ok(Value::Object(_)) => Ok(text.into()),
        Ok(_) => Err(OperatorError::BadPatch("it is JSON of another kind".into()).into()),
        Err(error) => Err(OperatorError::BadPatch(error.to_string()).into()),
    }
}
