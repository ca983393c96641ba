use std::fs::File;
use std::path::Path;
use std::process::Stdio;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::{Child, Command};

use crate::ProcessError;

/// A `savorywalk serve` whose log goes to a file, and which is killed when it is dropped.
#[derive(Debug)]
pub struct SignalledProcess {
    child: Child,
}

impl SignalledProcess {
    /// Writes `settings` into `folder` and starts `program` on them.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Io`] if a file can't be written or the program can't be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        settings: &str,
    ) -> Result<Self, ProcessError> {
        let file = folder.join(format!("{name}.ini"));
        std::fs::write(&file, settings)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .arg("serve")
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self { child })
    }

    /// Kills the process and waits until it has ended, so that its ports are free.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Io`] if it can't be killed.
    pub async fn kill(mut self) -> Result<(), ProcessError> {
        self.child.kill().await?;
        Ok(())
    }

    /// Id of the process; `None` once it has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// [`ProcessError::Signal`] if the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let id = self.child.id().ok_or(nix::Error::ESRCH)?;
        kill(Pid::from_raw(id as i32), signal)?;
        Ok(())
    }
}
