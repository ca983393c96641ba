use std::path::Path;

use savorywalk::telemetry::{RequestTimeline, event_meaning};

use crate::arguments::Explain;
use crate::report_writer::ReportWriter;
use crate::{Result, settings_check};

/// Prints what logs tell of one request.
pub(crate) fn run(arguments: Explain) -> Result<()> {
    let mut timeline = RequestTimeline::default();
    for file in &arguments.file {
        let log = settings_check::read(file)?;
        timeline.read(&arguments.id, &source_name(file), &log);
    }
    let mut report = ReportWriter::stdout();
    for line in timeline.lines() {
        let meaning = event_meaning(&line.event).unwrap_or("");
        report.line(format_args!(
            "{} {}: {}",
            line.time, line.source, line.event
        ));
        report.line(format_args!("    {}", line.details));
        if !meaning.is_empty() {
            report.line(format_args!("    ({meaning})"));
        }
    }
    if let Some(gap) = timeline.gap() {
        report.line(format_args!("{gap}"));
    }
    report.finish()
}

fn source_name(file: &Path) -> String {
    let name = file.file_name().unwrap_or(file.as_os_str());
    name.to_string_lossy().into_owned()
}
