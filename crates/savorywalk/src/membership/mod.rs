//! Membership protocol, by which each daemon learns which other daemons are running, have left
//! or have failed, without a central list. See docs/design/membership.md.

mod byte_budget;
mod member_identity;
mod member_state;
mod member_table;
mod member_view;
mod membership_action;
mod membership_core;
mod membership_error;
mod membership_messages;
mod membership_probes;
mod membership_suspicion;
mod membership_timing;
mod membership_updates;
mod peer_graph;
mod probe_monitor;
mod region_bridge;
#[cfg(test)]
mod test_network;
mod traffic_class;
mod update_queue;

pub use byte_budget::{ByteBudget, TrafficCount};
pub use member_identity::MemberIdentity;
pub use member_state::MemberState;
pub use member_table::{Member, MemberTable};
pub use member_view::MemberView;
pub use membership_action::{MembershipAction, MembershipEvent};
pub use membership_core::MembershipCore;
pub use membership_error::MembershipError;
pub use membership_timing::MembershipTiming;
pub use peer_graph::PeerGraph;
pub use traffic_class::TrafficClass;

/// Result with a [`MembershipError`].
pub type Result<T> = std::result::Result<T, MembershipError>;
