use serde_json::Value;

use crate::Result;
use crate::arguments::Status;
use crate::operator_client::OperatorClient;
use crate::operator_error::OperatorError;
use crate::report_writer::ReportWriter;

/// Prints what an entry and control tell of themselves, as JSON.
pub(crate) async fn run(arguments: Status) -> Result<()> {
    let client = OperatorClient::new(arguments.entry, &arguments.token_file)?;
    let reply = client.get("/v1/status").await?;
    let status: Value = serde_json::from_slice(&reply.body).map_err(OperatorError::BadAnswer)?;
    let mut report = ReportWriter::stdout();
    report.line(format_args!("{status:#}"));
    report.finish()
}
