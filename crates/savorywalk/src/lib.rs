//! Savorywalk serves multi-stage model pipelines (encode, retrieve, rerank,
//! generate) to many workspaces under one deadline.
//!
//! The library holds every decision; the daemons only read settings, open
//! sockets and start actors. Start with docs/README.md.

pub mod admission;
pub mod api;
pub mod attempt;
pub mod audit;
pub mod claims;
pub mod configuration;
pub mod consensus;
pub mod control;
pub mod cost;
pub mod directory;
pub mod entry;
pub mod evacuation;
pub mod gateway;
#[rustfmt::skip]
pub mod generated;
mod hashing;
mod http_bodies;
pub mod membership;
pub mod orders;
pub mod pipeline;
pub mod prelude;
pub mod quarantine;
pub mod queueing;
pub mod registry;
pub mod routing;
pub mod settings;
pub mod storage;
pub mod telemetry;
pub mod transport;
