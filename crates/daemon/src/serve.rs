use std::path::Path;

use bytes::Bytes;
use savorywalk::entry::{EntryDaemon, JoinedDaemon};
use savorywalk::settings::DaemonSettings;
use savorywalk::telemetry;
use tokio::signal::unix::{SignalKind, signal};

use crate::{CommandError, Result, settings_check};

/// A daemon alone, or one of a deployment with control.
enum RunningDaemon {
    Sole(Box<EntryDaemon>),
    Joined(Box<JoinedDaemon>),
}

/// Runs a daemon until SIGTERM or SIGINT, then stops it gracefully.
pub(crate) async fn run(file: &Path) -> Result<()> {
    let settings = settings_check::read_checked(file)?;
    let level = settings
        .log
        .as_ref()
        .map_or("info", |log| log.level.as_str());
    telemetry::init_logging(level);
    let mut terminate = signal(SignalKind::terminate()).map_err(CommandError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(CommandError::Signals)?;
    let daemon = start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let finished = match daemon {
        RunningDaemon::Sole(daemon) => daemon.stop().await,
        RunningDaemon::Joined(daemon) => daemon.stop().await,
    };
    if finished {
        return Ok(());
    }
    Err(CommandError::DrainTimedOut)
}

async fn start(settings: DaemonSettings) -> Result<RunningDaemon> {
    let control = settings.control.clone().unwrap_or_default();
    if control.voters.is_empty() {
        let configuration = settings_check::read_configuration(&settings)?;
        let daemon = EntryDaemon::start(settings, configuration).await?;
        return Ok(RunningDaemon::Sole(Box::new(daemon)));
    }
    let first = match control.configuration.as_str() {
        "" => None,
        file => Some(Bytes::from(settings_check::read(Path::new(file))?)),
    };
    let daemon = JoinedDaemon::start(settings, first).await?;
    Ok(RunningDaemon::Joined(Box::new(daemon)))
}
