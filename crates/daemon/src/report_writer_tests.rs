use super::*;

/// Fails every write with one kind of error.
struct FailingOutput(ErrorKind);

impl Write for FailingOutput {
    fn write(&mut self, _bytes: &[u8]) -> io::Result<usize> {
        Err(self.0.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(self.0.into())
    }
}

#[test]
fn a_reader_that_left_is_no_error() {
    let mut report = ReportWriter::new(FailingOutput(ErrorKind::BrokenPipe));
    report.line(format_args!("{}", "x".repeat(100_000)));
    report.line(format_args!("more"));
    assert!(report.finish().is_ok());
}

#[test]
fn a_full_disk_is_told_at_the_end() {
    let mut report = ReportWriter::new(FailingOutput(ErrorKind::StorageFull));
    report.line(format_args!("short"));
    assert!(matches!(report.finish(), Err(CommandError::Output(_))));
}
