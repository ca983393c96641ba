use std::path::Path;
use std::sync::Arc;

use bytes::Bytes;
use savorywalk::entry::{EntryDaemon, JoinedDaemon};
use savorywalk::gateway::{GatewayDaemon, RegistryDaemon};
use savorywalk::log_event;
use savorywalk::settings::{DaemonSettings, RoleSet, SettingAdjustment, SettingsReading};
use savorywalk::telemetry;
use savorywalk_platform::PlatformWire;
use tokio::signal::unix::{SignalKind, signal};

use crate::{CommandError, Result, settings_check};

/// A daemon in one of the forms that the settings can ask for.
enum RunningDaemon {
    Sole(Box<EntryDaemon>),
    Joined(Box<JoinedDaemon>),
    Gateway(Box<GatewayDaemon>),
    Registry(Box<RegistryDaemon>),
}

impl RunningDaemon {
    /// Takes newer settings; what can't change while it runs stays.
    fn reload(&self, file: &Path) {
        let reading = match settings_check::read_checked(file) {
            Ok(reading) => reading,
            Err(error) => {
                log_event!(error, "settings_not_reloaded", reason = error);
                return;
            }
        };
        log_adjustments(&reading.adjustments);
        match self {
            Self::Gateway(daemon) => daemon.reload(&reading.settings),
            Self::Sole(_) | Self::Joined(_) | Self::Registry(_) => {
                log_event!(info, "settings_kept", reason = "restart to apply them");
            }
        }
    }

    /// Stops gracefully; tells whether every request was answered.
    async fn stop(self) -> bool {
        match self {
            Self::Sole(daemon) => daemon.stop().await,
            Self::Joined(daemon) => daemon.stop().await,
            Self::Gateway(daemon) => daemon.stop().await,
            Self::Registry(daemon) => daemon.stop().await,
        }
    }
}

/// Runs a daemon until SIGTERM or SIGINT, then stops it gracefully. SIGHUP has
/// it read its settings again.
pub(crate) async fn run(file: &Path) -> Result<()> {
    let SettingsReading {
        settings,
        adjustments,
    } = settings_check::read_checked(file)?;
    let level = settings
        .log
        .as_ref()
        .map_or("info", |log| log.level.as_str());
    telemetry::init_daemon_logging(level);
    log_adjustments(&adjustments);
    let mut terminate = signal(SignalKind::terminate()).map_err(CommandError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(CommandError::Signals)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(CommandError::Signals)?;
    let daemon = start(settings).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => daemon.reload(file),
        }
    }
    let finished = daemon.stop().await;
    telemetry::finish_logging();
    if finished {
        return Ok(());
    }
    Err(CommandError::DrainTimedOut)
}

/// Tells which values are used otherwise than the file has them.
fn log_adjustments(adjustments: &[SettingAdjustment]) {
    for adjustment in adjustments {
        log_event!(
            warn,
            "setting_adjusted",
            section = adjustment.section,
            key = adjustment.key,
            given = adjustment.given,
            taken = adjustment.taken,
            reason = adjustment.reason
        );
    }
}

async fn start(settings: DaemonSettings) -> Result<RunningDaemon> {
    let roles = settings.node.as_ref().map(RoleSet::from_settings);
    let roles = roles.and_then(|roles| roles.ok()).unwrap_or_default();
    if roles.gateway {
        let daemon = GatewayDaemon::start(&settings, Arc::new(PlatformWire)).await?;
        return Ok(RunningDaemon::Gateway(Box::new(daemon)));
    }
    if roles.registry {
        let daemon = RegistryDaemon::start(&settings, Arc::new(PlatformWire)).await?;
        return Ok(RunningDaemon::Registry(Box::new(daemon)));
    }
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
