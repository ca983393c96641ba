use std::sync::mpsc::{Sender, channel};

use super::*;

/// An output that nobody reads: every write waits for ever.
struct StalledOutput {
    entered: Sender<()>,
}

impl Write for StalledOutput {
    fn write(&mut self, _line: &[u8]) -> io::Result<usize> {
        self.entered.send(()).expect("the test waits");
        loop {
            thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that hands its lines to the test.
struct HeardOutput {
    lines: Sender<Vec<u8>>,
}

impl Write for HeardOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.lines.send(line.to_vec()).expect("the test listens");
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_output_keeps_nobody() {
    let (entered, waits) = channel();
    let mut pipe = LogPipe::start(StalledOutput { entered }).unwrap();
    pipe.write_all(b"first\n").unwrap();
    waits.recv().unwrap();
    let now = Instant::now();
    for second in 0..10 {
        for _ in 0..LINES_PER_SECOND {
            pipe.push(now + Duration::from_secs(second), b"more\n");
        }
    }
    let lines = 10 * LINES_PER_SECOND;
    assert!(pipe.dropped.load(Ordering::Relaxed) >= lines - MAX_WAITING as u64);
}

#[test]
fn a_flood_is_bounded_and_told() {
    let (lines, heard) = channel();
    let pipe = LogPipe::start(HeardOutput { lines }).unwrap();
    let now = Instant::now();
    let flood = LINES_PER_SECOND * BURST_SECONDS * 3;
    for _ in 0..flood {
        pipe.push(now, b"flood\n");
    }
    pipe.push(now + Duration::from_secs(1), b"after\n");
    drop(pipe);
    let heard: Vec<Vec<u8>> = heard.iter().collect();
    assert!((heard.len() as u64) < flood / 2);
    let last = String::from_utf8(heard.concat()).unwrap();
    assert!(last.contains("event=log_lines_dropped count="));
    assert!(last.ends_with("after\n"));
}
