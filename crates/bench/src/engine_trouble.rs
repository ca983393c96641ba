use std::time::Duration;

use savorywalk_standin::{EndpointFault, EndpointServer};
use serde::Serialize;

use crate::{BenchError, Result};

const SLOWNESS: f64 = 10.0;

/// What strikes one engine during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EngineTrouble {
    None,
    /// Ten times as slow.
    Slow,
    /// Takes every request and never answers.
    Silent,
    /// Connections that are open go silent; new ones work.
    SilentConnections,
    /// Dies in the middle of its answers.
    Die,
}

impl EngineTrouble {
    pub(crate) fn from_name(name: &str) -> Result<Self> {
        match name {
            "none" => Ok(Self::None),
            "slow" => Ok(Self::Slow),
            "silent" => Ok(Self::Silent),
            "silent_connections" => Ok(Self::SilentConnections),
            "die" => Ok(Self::Die),
            other => Err(BenchError::Argument(format!("no fault {other:?}"))),
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Slow => "slow",
            Self::Silent => "silent",
            Self::SilentConnections => "silent_connections",
            Self::Die => "die",
        }
    }

    /// Strikes `engine` after `wait`.
    pub(crate) async fn strike(self, engine: &EndpointServer, wait: Duration) {
        tokio::time::sleep(wait).await;
        match self {
            Self::None => {}
            Self::Slow => engine.faults().set(EndpointFault::Slow(SLOWNESS)),
            Self::Silent => {
                engine.faults().set(EndpointFault::Silent);
                engine.silence_connections();
            }
            Self::SilentConnections => engine.silence_connections(),
            Self::Die => engine.die(),
        }
    }
}
