use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use savorywalk::prelude::*;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A daemon that does not say that it is ready within this time never will.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Lines of the log that are kept for the message of a failed test.
const KEPT_LINES: usize = 200;
const READY_EVENT: &str = "event=entry_ready";

/// Why a daemon's process could not be used.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The program could not be started or asked.
    #[error("the daemon's process can't be used: {0}; build the program first")]
    Io(#[from] io::Error),
    /// A signal could not be sent.
    #[error("the daemon's process can't be signalled: {0}; it may have ended")]
    Signal(#[from] nix::Error),
    /// The daemon ended or stayed silent before it was ready.
    #[error("the daemon did not become ready; its log: {0}")]
    NotReady(String),
}

/// One `savorywalk serve` as a process of its own, killed when it is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    addresses: DaemonAddresses,
    log: JoinHandle<VecDeque<String>>,
}

/// Where a daemon listens, read from its log.
#[derive(Clone, Copy, Debug)]
pub struct DaemonAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For endpoints.
    pub endpoints: SocketAddr,
}

impl DaemonProcess {
    /// Writes `settings` into `folder` and starts `program` on them.
    pub async fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        settings: &str,
    ) -> Result<Self, ProcessError> {
        let file: PathBuf = folder.join(format!("{name}.ini"));
        std::fs::write(&file, settings)?;
        let mut child = Command::new(program)
            .arg("serve")
            .arg("--settings")
            .arg(&file)
            .env("SAVORYWALK_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .kill_on_drop(true)
            .spawn()?;
        let stdout = child.stdout.take();
        let stdout = stdout.ok_or_else(|| io::Error::other("no standard output"))?;
        let (ready, became_ready) = oneshot::channel();
        let log = tokio::spawn(read_log(BufReader::new(stdout).lines(), ready));
        match tokio::time::timeout(READY_TIMEOUT, became_ready).await {
            Ok(Ok(addresses)) => Ok(Self {
                child,
                addresses,
                log,
            }),
            Ok(Err(_)) | Err(_) => {
                child.start_kill()?;
                let lines = log.await.unwrap_or_default();
                Err(ProcessError::NotReady(joined(&lines)))
            }
        }
    }

    /// Where it listens.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Ends the process as a crash of its VM would.
    pub async fn kill(mut self) -> Result<(), ProcessError> {
        self.child.kill().await?;
        Ok(())
    }

    /// Asks for a planned stop and waits for it; tells whether it ended well,
    /// with the end of its log.
    pub async fn terminate(mut self) -> Result<(bool, String), ProcessError> {
        self.signal(Signal::SIGTERM)?;
        let status = self.child.wait().await?;
        let lines = self.log.await.unwrap_or_default();
        Ok((status.success(), joined(&lines)))
    }

    /// Freezes the process, as a VM that is paused.
    pub fn pause(&self) -> Result<(), ProcessError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal(Signal::SIGCONT)
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let id = self.child.id().ok_or(nix::Error::ESRCH)?;
        kill(Pid::from_raw(id as i32), signal)?;
        Ok(())
    }
}

fn joined(lines: &VecDeque<String>) -> String {
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    lines.join("\n")
}

/// Reads the log to its end, so that the daemon never waits for a full pipe.
async fn read_log(
    mut lines: Lines<BufReader<ChildStdout>>,
    ready: oneshot::Sender<DaemonAddresses>,
) -> VecDeque<String> {
    let mut kept = VecDeque::new();
    let mut ready = Some(ready);
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(addresses) = addresses(&line)
            && let Some(ready) = ready.take()
            && ready.send(addresses).is_err()
        {
            log::debug!("event=daemon_not_awaited");
        }
        if kept.len() == KEPT_LINES {
            kept.pop_front();
        }
        kept.push_back(line);
    }
    kept
}

fn addresses(line: &str) -> Option<DaemonAddresses> {
    if !line.contains(READY_EVENT) {
        return None;
    }
    Some(DaemonAddresses {
        callers: address(line, "callers=")?,
        operators: address(line, "operators=")?,
        endpoints: address(line, "endpoints=")?,
    })
}

fn address(line: &str, key: &str) -> Option<SocketAddr> {
    let value = line
        .split_whitespace()
        .find_map(|word| word.strip_prefix(key))?;
    value.parse().ok()
}
