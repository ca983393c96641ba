use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;

use crate::prelude::*;

/// Lines that may wait for the output; at 200 bytes a line, under a megabyte.
const MAX_WAITING: usize = 4_096;

/// Lines a second that one daemon may write over a longer time. A gateway at its
/// share of the target's load writes some hundred.
const LINES_PER_SECOND: u64 = 1_000;

/// Seconds of that rate which may be written at once.
const BURST_SECONDS: u64 = 4;

/// Longest wait at the end of a process for the lines that are still queued.
const FINISH_TIME: Duration = Duration::from_millis(500);

/// Lines that are queued and not yet written.
static PENDING: PendingLines = PendingLines {
    count: Mutex::new(0),
    none_left: Condvar::new(),
};

/// Counts queued lines, for the end of the process.
#[derive(Debug)]
struct PendingLines {
    count: Mutex<u64>,
    none_left: Condvar,
}

impl PendingLines {
    fn add(&self) {
        *self.count.lock().unwrap_or_else(PoisonError::into_inner) += 1;
    }

    fn done(&self, lines: u64) {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        *count = count.saturating_sub(lines);
        if *count == 0 {
            self.none_left.notify_all();
        }
    }
}

/// Waits until what was logged is written, for half a second at most.
pub fn finish_logging() {
    let count = PENDING.count.lock().unwrap_or_else(PoisonError::into_inner);
    let waited = PENDING
        .none_left
        .wait_timeout_while(count, FINISH_TIME, |count| *count > 0);
    drop(waited);
}

/// Takes log lines without ever waiting: what the output or the rate has no room
/// for is dropped and counted, and a line tells how many once there is room.
#[derive(Debug)]
pub(super) struct LogPipe {
    lines: SyncSender<Vec<u8>>,
    quota: Mutex<LineQuota>,
    dropped: AtomicU64,
}

/// Lines that may be written, which grow back with time.
#[derive(Debug)]
struct LineQuota {
    left: u64,
    refilled: Instant,
}

impl LineQuota {
    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled);
        let earned = (elapsed.as_secs_f64() * LINES_PER_SECOND as f64) as u64;
        if earned > 0 {
            self.left = (self.left + earned).min(LINES_PER_SECOND * BURST_SECONDS);
            self.refilled = now;
        }
        let granted = self.left > 0;
        self.left = self.left.saturating_sub(1);
        granted
    }
}

impl LogPipe {
    /// A pipe to `output`, written by a thread of its own.
    pub(super) fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_WAITING);
        let write = move || write_lines(queue, output);
        thread::Builder::new().name("log".into()).spawn(write)?;
        Ok(Self {
            lines,
            quota: Mutex::new(LineQuota {
                left: LINES_PER_SECOND * BURST_SECONDS,
                refilled: Instant::now(),
            }),
            dropped: AtomicU64::new(0),
        })
    }

    /// Queues one line, or counts it as dropped.
    fn push(&self, now: Instant, line: &[u8]) {
        let mut quota = self.quota.lock().unwrap_or_else(PoisonError::into_inner);
        let is_allowed = quota.take(now);
        drop(quota);
        if !is_allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let mut bytes = Vec::with_capacity(line.len() + 64);
        if dropped > 0 {
            bytes.extend(format!("level=warn event=log_lines_dropped count={dropped}\n").bytes());
        }
        bytes.extend(line);
        PENDING.add();
        if self.lines.try_send(bytes).is_err() {
            PENDING.done(1);
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }
}

impl Write for LogPipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.push(Instant::now(), line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(first) = queue.recv() {
        let mut next = Some(first);
        let mut written = 0;
        while let Some(line) = next {
            // There is nowhere left to tell of an output that is gone.
            if output.write_all(&line).is_err() {
                return PENDING.done(u64::MAX);
            }
            written += 1;
            next = queue.try_recv().ok();
        }
        if output.flush().is_err() {
            return PENDING.done(u64::MAX);
        }
        PENDING.done(written);
    }
}

#[cfg(test)]
#[path = "log_pipe_tests.rs"]
mod tests;
