use savorywalk::audit::{AuditRecord, AuditReply, verify_chain};
use savorywalk::telemetry::time_text;

use crate::Result;
use crate::arguments::Audit;
use crate::operator_client::OperatorClient;
use crate::operator_error::OperatorError;
use crate::report_writer::ReportWriter;

const DEFAULT_LIMIT: u64 = 100;
/// Records of one page while a trail is verified.
const PAGE: u64 = 1_000;

/// Prints the audit trail, or verifies it.
pub(crate) async fn run(arguments: Audit) -> Result<()> {
    let client = OperatorClient::new(arguments.entry, &arguments.token_file)?;
    if arguments.verify {
        return verify(&client).await;
    }
    let after = arguments.after.unwrap_or(0);
    let limit = arguments.limit.unwrap_or(DEFAULT_LIMIT);
    let reply = read(&client, after, limit).await?;
    let mut report = ReportWriter::stdout();
    for record in &reply.records {
        write_record(&mut report, record);
    }
    report.line(format_args!(
        "records {} to {} are kept",
        reply.base_sequence + 1,
        reply.last_sequence
    ));
    report.finish()
}

/// Recomputes the chain of hashes page by page and names the first gap.
async fn verify(client: &OperatorClient) -> Result<()> {
    let first = read(client, 0, PAGE).await?;
    let base = first.base_sequence;
    let mut hash = first.previous_hash.clone();
    let mut last = base;
    let mut page = first;
    while !page.records.is_empty() {
        hash = verify_chain(last, &hash, &page.records).map_err(OperatorError::Gap)?;
        last += page.records.len() as u64;
        page = read(client, last, PAGE).await?;
    }
    let mut report = ReportWriter::stdout();
    report.line(format_args!(
        "records {} to {last} follow each other without a gap",
        base + 1
    ));
    report.line(format_args!("hash of the last: {hash}"));
    report.finish()
}

async fn read(client: &OperatorClient, after: u64, limit: u64) -> Result<AuditReply> {
    let path = format!("/v1/audit?after={after}&limit={limit}");
    let reply = client.get(&path).await?;
    Ok(serde_json::from_slice(&reply.body).map_err(OperatorError::BadAnswer)?)
}

fn write_record(report: &mut ReportWriter<std::io::Stdout>, record: &AuditRecord) {
    report.line(format_args!(
        "{:>6}  {}  {}  {} {} {}  {}",
        record.sequence,
        time_text(record.stamp_ms),
        record.author,
        record.kind,
        record.subject,
        record.outcome,
        record.detail
    ));
}
