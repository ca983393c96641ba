use std::io;
use std::path::PathBuf;

use savorywalk::configuration::ConfigurationReport;
use savorywalk::entry::EntryError;
use savorywalk::settings::SettingsReport;
use savorywalk_standin::StandinError;
use thiserror::Error;

/// Why a measurement could not be made.
#[derive(Debug, Error)]
pub(crate) enum BenchError {
    #[error("an argument is wrong: {0}; see --help")]
    Argument(String),
    #[error("a runtime can't be started: {0}; try again when the machine is less busy")]
    Runtime(io::Error),
    #[error("a task of the bench panicked: {0}; look at the log above")]
    Task(#[from] tokio::task::JoinError),
    #[error("a listener can't be opened: {0}; free some ports")]
    Listen(io::Error),
    #[error(transparent)]
    Entry(#[from] EntryError),
    #[error(transparent)]
    Standin(#[from] StandinError),
    #[error("the bench's configuration is wrong: {0}")]
    Configuration(#[from] ConfigurationReport),
    #[error("the bench's settings are wrong: {0}")]
    Settings(#[from] SettingsReport),
    #[error(
        "the endpoints were not known to every entry in time; try again when the machine is less busy"
    )]
    NoEndpoints,
    #[error(transparent)]
    Keys(#[from] savorywalk::transport::KeyError),
    #[error(transparent)]
    Link(#[from] savorywalk::transport::LinkError),
    #[error("a name or address of the bench is wrong: {0}")]
    Peer(#[from] savorywalk::transport::InvalidPeerName),
    #[error("{path:?} can't be read: {error}; name a log file")]
    Log { path: PathBuf, error: io::Error },
    #[error("{path:?} can't be written: {error}; name a folder that can")]
    Report { path: PathBuf, error: String },
}
