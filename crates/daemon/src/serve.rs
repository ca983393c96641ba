use std::path::Path;

use savorywalk::entry::EntryDaemon;
use savorywalk::telemetry;
use tokio::signal::unix::{SignalKind, signal};

use crate::{CommandError, Result, settings_check};

/// Runs a daemon until SIGTERM or SIGINT, then stops it gracefully.
pub(crate) async fn run(file: &Path) -> Result<()> {
    let settings = settings_check::read_checked(file)?;
    let configuration = settings_check::read_configuration(&settings)?;
    let level = settings
        .log
        .as_ref()
        .map_or("info", |log| log.level.as_str());
    telemetry::init_logging(level);
    let mut terminate = signal(SignalKind::terminate()).map_err(CommandError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(CommandError::Signals)?;
    let daemon = EntryDaemon::start(settings, configuration).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    if daemon.stop().await {
        return Ok(());
    }
    Err(CommandError::DrainTimedOut)
}
