//! The control role: the state machine of the replicated log, the voters that run it,
//! and its clients. See docs/design/control.md.

mod cluster_control;
mod control_client;
mod control_error;
mod control_machine;
mod control_state;
mod endpoint_incarnation;
mod hub_link;
mod local_control;
mod stamp_clock;
mod voter_picker;
mod voter_roster;
mod voter_service;

pub use crate::generated::control::control_command::Body as ControlBody;
pub use crate::generated::control::control_outcome::Outcome as ControlVerdict;
pub use crate::generated::control::control_query::Query as ControlQuestion;
pub use crate::generated::control::control_reply::Reply as ControlAnswer;
pub use crate::generated::control::patch_command::Change as PatchChange;
pub use crate::generated::control::patch_outcome::Outcome as PatchVerdict;
pub use crate::generated::control::{
    BootstrapCommand, ConfigurationFault, ConfigurationQuery, ConfigurationReply, ControlCommand,
    ControlOutcome, ControlQuery, ControlReply, ControlSnapshot, ControlStatus, DocumentCommand,
    DocumentOutcome, DocumentRegisterSnapshot, EndpointIncarnation, HistoryReply,
    InvalidConfiguration, LeaseOutcome, Malformed, MembershipNote, Noted, PatchAccepted,
    PatchCommand, PatchIdConflict, PatchOutcome, RangeQuery, StatusQuery, VersionChange,
    VersionMismatch,
};
pub use cluster_control::ClusterControl;
pub use control_client::ControlClient;
pub(crate) use control_client::unexpected;
pub use control_error::ControlError;
pub use control_machine::{ControlCell, ControlMachine, DocumentRevisions};
pub use control_state::ControlState;
pub use hub_link::HubLink;
pub use local_control::LocalControl;
pub use stamp_clock::StampClock;
pub use voter_picker::VoterPicker;
pub use voter_roster::VoterRoster;
pub use voter_service::{VoterService, VoterTasks};

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, ControlError>;
