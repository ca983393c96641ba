use std::fmt;
use std::io::{self, BufWriter, ErrorKind, Stdout, Write};

use crate::{CommandError, Result};

/// The one way in which a command writes its report.
///
/// A reader that leaves early, as `head` does, is not an error: the rest of
/// the report is dropped and the command goes on, so that its exit code still
/// tells the truth. Any other failure is kept and told by [`Self::finish`].
#[derive(Debug)]
pub(crate) struct ReportWriter<W: Write> {
    output: BufWriter<W>,
    failure: Option<io::Error>,
}

impl ReportWriter<Stdout> {
    /// A writer to standard output.
    pub(crate) fn stdout() -> Self {
        Self::new(io::stdout())
    }
}

impl<W: Write> ReportWriter<W> {
    /// A writer to `output`.
    pub(crate) fn new(output: W) -> Self {
        Self {
            output: BufWriter::new(output),
            failure: None,
        }
    }

    /// Writes one line.
    pub(crate) fn line(&mut self, line: fmt::Arguments<'_>) {
        let output = &mut self.output;
        let written = output
            .write_fmt(line)
            .and_then(|()| output.write_all(b"\n"));
        self.keep(written);
    }

    /// Hands on what is buffered, so that a reader sees it now.
    pub(crate) fn flush(&mut self) {
        let flushed = self.output.flush();
        self.keep(flushed);
    }

    /// Hands on the rest and tells whether the report could be written.
    pub(crate) fn finish(mut self) -> Result<()> {
        self.flush();
        let failure = self.failure.take();
        let (_output, _rest) = self.output.into_parts();
        match failure {
            None => Ok(()),
            Some(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
            Some(error) => Err(CommandError::Output(error)),
        }
    }

    fn keep(&mut self, result: io::Result<()>) {
        if let Err(error) = result {
            self.failure.get_or_insert(error);
        }
    }
}

#[cfg(test)]
#[path = "report_writer_tests.rs"]
mod tests;
