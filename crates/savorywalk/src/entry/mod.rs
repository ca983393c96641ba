//! The entry role joined together: what one daemon holds and how it starts
//! and stops. See docs/design/shape.md.

mod claimed_run;
mod control_follower;
mod control_server;
mod entry_daemon;
mod entry_gauges;
mod entry_node;
mod entry_status;
mod follower_core;
mod follower_standing;
mod joined_daemon;
mod member_exchange;
mod queue_gauges;
mod readiness_gate;
mod usage_exchange;
mod usage_names;

pub use claimed_run::{AnswerWriter, ClaimedAnswer, ClaimedRun};
pub use control_follower::{ControlFollower, FollowerTask};
pub use entry_daemon::{EntryDaemon, EntryError};
pub use entry_node::EntryNode;
pub use entry_status::EntryStatus;
pub use follower_core::{CONFIRMATION_TIME, FollowerCore, PeerReport};
pub use follower_standing::FollowerStanding;
pub use joined_daemon::JoinedDaemon;
pub use readiness_gate::{ReadinessGate, ReadinessState, ReadinessView};

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, EntryError>;
