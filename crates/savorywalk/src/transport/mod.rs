//! Links carry messages between the system's own processes, so that every
//! other part addresses a peer by its certified name and never sees a socket.
//! See docs/design/links.md.

mod address_book;
mod any_certificate;
mod call_reply;
mod certificate_files;
mod connection_health;
mod connection_keeper;
mod connection_silence;
mod connection_uses;
mod hub_core;
mod inbound_call;
mod inbound_message;
mod inbound_reader;
mod inbound_stream;
mod key_authority;
mod link_budget;
mod link_channel;
mod link_class;
mod link_connection;
mod link_error;
mod link_gauges;
mod link_hub;
mod link_identity;
pub mod link_limits;
mod link_metrics;
mod link_options;
mod link_stream;
mod link_thread;
mod link_trust;
mod peer_certificate;
mod peer_name;
mod peer_slot;
mod peer_writer;
mod queue_quota;
mod receive_meter;
mod send_queue;
mod token_bucket;
mod wire_counts;

pub use crate::generated::link::CallRefusal;
pub use address_book::AddressBook;
pub use call_reply::CallReplier;
pub use certificate_files::CertificateFiles;
pub use inbound_call::InboundCall;
pub use inbound_message::InboundMessage;
pub use inbound_stream::InboundStream;
pub use key_authority::{KeyAuthority, KeyError};
pub use link_budget::LinkBudget;
pub use link_channel::LinkChannel;
pub use link_class::LinkClass;
pub use link_error::{LinkError, LoadError};
pub use link_gauges::register as register_link_metrics;
pub use link_hub::LinkHub;
pub use link_metrics::{ClassCounts, LinkMetrics};
pub use link_options::LinkOptions;
pub use link_stream::LinkStream;
pub use link_thread::LinkThread;
pub use link_trust::{LinkTiming, LinkTrust};
pub use peer_name::{InvalidPeerName, PeerName, parse_peers};
pub use wire_counts::WireCounts;

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, LinkError>;
