//! The gateway takes requests by host and path, has their stages worked on in
//! pieces, and forwards them to one endpoint each. See docs/design/gateway.md.

mod answered_requests;
mod body_reader;
mod call_fault;
mod call_fill;
mod call_surface;
mod cluster_hub;
mod crash_report;
mod crash_watch;
mod endpoint_availability;
mod endpoint_call;
mod endpoint_limits;
mod endpoint_load;
mod endpoint_roster;
mod endpoint_score;
mod engine_desk;
mod engine_model;
mod event_splitter;
mod fading_sum;
mod fault_tally;
mod first_event_times;
mod forward_attempt;
mod forward_plan;
mod forward_run;
mod gateway_daemon;
mod gateway_error;
mod gateway_metrics;
mod gateway_node;
mod gateway_refusal;
mod gateway_view;
mod graceful_stop;
mod kept_connections;
mod limit_exchange;
#[cfg(test)]
mod limit_simulation_tests;
mod living_stream;
mod metrics_page;
mod near_places;
mod permit_gate;
mod piece_board;
mod piece_call;
mod piece_queue;
mod piece_task;
mod piece_times;
#[cfg(test)]
mod plain_wire_tests;
mod plan_order;
mod plan_results;
mod plan_run;
mod plan_worth;
mod pool_load;
mod prompt_exchange;
mod quantile_scale;
mod quarantine_gate;
mod region_map;
mod registry_daemon;
mod registry_metrics;
mod registry_surface;
mod release_queue;
mod request_admission;
mod request_context;
mod request_rank;
mod request_service;
mod response_head;
mod result_room;
mod retry_window;
mod route_rule;
mod route_shares;
mod route_table;
mod run_ledger;
mod send_permits;
mod share_count;
mod size_shares;
mod stage_forecast;
mod stage_graph;
mod stage_progress;
mod stream_relay;
mod table_error;
mod wire_format;
mod work_desk;
mod work_exchange;
mod work_gate;
mod work_places;
mod work_shard;

pub use call_fault::{CallFault, ReportFault};
pub use call_fill::CallFill;
pub use endpoint_roster::{EndpointRoster, PoolMember};
pub use endpoint_score::PlacementQuery;
pub use engine_model::{EngineModel, EngineTarget, PromptPlace, PromptQuery};
pub use event_splitter::EventSplitter;
pub use gateway_daemon::GatewayDaemon;
pub use gateway_error::GatewayError;
pub use gateway_refusal::{GatewayRefusal, NotRunReason};
pub use piece_queue::PieceQueue;
pub use piece_task::{PieceCall, PieceTarget, PieceTask, QueuedPiece};
pub use piece_times::PieceTimes;
pub use plan_worth::{WorthLevel, WorthScale, rank_worth, worth_level};
pub use pool_load::PoolRate;
pub use quantile_scale::QuantileScale;
pub use registry_daemon::RegistryDaemon;
pub use request_rank::{engine_rank, request_rank, turn_rank};
pub use result_room::ResultRoom;
pub use retry_window::{RetryLimits, RetryWindow};
pub use route_rule::{PoolShare, RouteKind, RouteRule, StageRule, WorkspaceRule};
pub use route_table::{
    EngineProfile, PieceProfile, PoolProfile, RequestLimits, RouteTable, TableParts,
};
pub use run_ledger::{NotRun, RunLedger};
pub use stage_forecast::StageForecast;
pub use stage_graph::StageGraph;
pub use stage_progress::{LostTooOften, StageProgress, StageStart};
pub use table_error::TableError;
pub use wire_format::{
    AdvertisedRate, BackoffRequest, CallerHead, EndpointHead, EndpointOrder, EndpointTarget,
    LoadReport, PieceOrder, PieceOutcome, PieceSource, PromptPart, RegistryAnswer, RegistryCall,
    ResultHandle, TokenCounts, WireFormat,
};
pub use work_gate::{
    PlanChance, PlanDemand, PlanFate, PlanNumber, PoolRates, StageDemand, WorkGate,
};
pub use work_places::WorkPlaces;

/// Result of this module's fallible calls.
pub type Result<T, E = GatewayError> = std::result::Result<T, E>;
