//! The registry informs every entry of the document in force and of the known endpoints,
//! with whether and when this was last confirmed. It is used in deployments where daemons
//! find each other from a few seeds. See docs/design/platform.md.

mod boot_clock;
mod confirmation_batcher;
mod endpoint_report;
mod entry_follower;
mod entry_list;
mod evacuation_service;
mod follow_reply;
mod follow_service;
mod follow_state;
mod follow_timeouts;
mod incarnation_token;
mod member_ring;
mod quarantine_batcher;
mod quarantine_service;
mod registry_error;
mod registry_node;
mod registry_table;
mod report_exchange;
mod report_outbox;
mod report_source;
mod table_digest;
mod voter_supervisor;

#[cfg(test)]
mod fleet_simulation;
#[cfg(test)]
mod late_announcement_tests;

pub use crate::control::EndpointIncarnation;
pub use crate::generated::control_link::{
    EndpointDigest, EndpointRefresh, EndpointReport, FollowCall, FollowReply, ReportBatch,
    TableComparison,
};
pub use boot_clock::{BootClock, BootTime};
pub use entry_follower::{EntryFollower, FollowOptions, ReportFailure};
pub use entry_list::EntryCapacity;
pub use follow_state::{Confirmation, FollowState, FollowUpdate, FollowedEndpoint};
pub use follow_timeouts::{FollowOutcome, FollowTimeouts};
pub use incarnation_token::IncarnationToken;
pub use member_ring::MemberRing;
pub use registry_error::RegistryError;
pub use registry_node::{RegistryNode, RegistryOptions};
pub use registry_table::{RegistryTable, ReportOutcome, TickOutcome};
pub use report_source::DigestOutcome;

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, RegistryError>;
