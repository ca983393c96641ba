//! The gateway routes requests by host and path, has their stages executed in pieces, and
//! forwards each request to one endpoint. See docs/design/gateway.md.

mod answer_bodies;
mod answer_memory;
mod answered_requests;
mod body_race;
mod body_reader;
mod cached_connections;
mod call_handler;
mod call_utilization;
mod cluster_hub;
mod coordination_driver;
mod coordinator_table;
mod crash_detector;
mod crash_report;
mod data_center_filter;
mod decaying_sum;
mod endpoint_availability;
mod endpoint_call;
mod endpoint_limits;
mod endpoint_load;
mod endpoint_paths;
mod endpoint_roster;
mod endpoint_score;
mod engine_model;
mod engine_scheduler;
mod entry_capacity;
mod event_body;
mod event_buffer;
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
mod guarded_stream;
mod head_limits;
mod infeasible_reason;
mod invalid_call;
mod limit_exchange;
#[cfg(test)]
mod limit_simulation_tests;
mod load_exchange;
mod load_features;
mod lost_stream;
mod metrics_page;
mod nearby_slots;
mod open_calls;
mod permit_gate;
mod piece_call;
mod piece_dispatcher;
mod piece_queue;
mod piece_task;
mod piece_times;
#[cfg(test)]
mod plain_wire_tests;
mod plan_admission;
mod plan_progress;
mod plan_request;
mod plan_results;
mod plan_run;
mod plan_scheduler;
mod plan_utility;
mod pool_load;
mod prompt_exchange;
mod prompt_homes;
mod quantile_scale;
mod quarantine_gate;
mod region_map;
mod registry_daemon;
mod registry_handler;
mod registry_metrics;
mod release_queue;
mod report_limits;
mod request_admission;
mod request_context;
mod request_rank;
mod request_service;
mod response_head;
mod result_capacity;
mod retry_budget;
mod returns;
mod route_rule;
mod route_shares;
mod route_table;
mod run_ledger;
mod send_permits;
mod shard_balance;
mod size_shares;
mod stage_forecast;
mod stage_graph;
mod stalled_calls;
mod stream_end;
mod stream_failure;
mod stream_origins;
mod stream_relay;
mod stream_source;
mod success_count;
mod table_error;
mod usage_exchange;
mod wire_format;
mod work_exchange;
mod work_shard;
mod workspace_shares;

pub use crate::http_bodies::EventSplitter;
pub use call_utilization::CallUtilization;
pub use data_center_filter::DataCenterFilter;
pub use endpoint_paths::{EndpointNetwork, NetworkConnect, TcpNetwork};
pub use endpoint_roster::{EndpointRoster, PoolMember};
pub use endpoint_score::PlacementQuery;
pub use engine_model::{EngineChoice, EngineModel, EngineTarget, PromptQuery};
pub use gateway_daemon::GatewayDaemon;
pub use gateway_error::GatewayError;
pub use gateway_refusal::{GatewayRefusal, NotRunReason};
pub use infeasible_reason::InfeasibleReason;
pub use invalid_call::{InvalidCall, InvalidReport};
pub use load_features::{FeatureSwitch, LoadFeatures};
pub use open_calls::{CallNumber, CloseReason};
pub use piece_queue::PieceQueue;
pub use piece_task::{PieceCall, PieceTarget, PieceTask, QueuedPiece};
pub use piece_times::PieceTimes;
pub use plan_progress::{PlanProgress, RecomputationLimit, StageStart};
pub use plan_scheduler::{
    PlanClass, PlanDemand, PlanNumber, PlanOutcome, PlanScheduler, PoolRates, StageDemand,
};
pub use plan_utility::{UtilityLevel, UtilityScale, rank_utility, utility_level};
pub use pool_load::PoolRate;
pub use prompt_homes::{PlacementCounts, ReadReason};
pub use quantile_scale::QuantileScale;
pub use registry_daemon::RegistryDaemon;
pub use request_rank::{engine_rank, request_rank, turn_rank};
pub use result_capacity::ResultCapacity;
pub use retry_budget::RetryLimits;
pub use returns::{CalendarCounts, ReturnTime};
pub use route_rule::{PoolShare, RouteKind, RouteRule, StageRule, WorkspaceRule};
pub use route_table::{
    EngineProfile, PieceProfile, PoolProfile, RequestLimits, RouteTable, TableParts,
};
pub use run_ledger::{NotRun, RunLedger};
pub use stage_forecast::StageForecast;
pub use stage_graph::StageGraph;
pub use stream_origins::VersionHistory;
pub use table_error::TableError;
pub use wire_format::{
    AdvertisedRate, BackoffRequest, CallerHead, EndpointHead, EndpointTarget, ForwardHeaders,
    LoadReport, PieceOutcome, PieceRequest, PieceSource, PromptPart, RegistryAnswer, RegistryCall,
    ResultHandle, TokenCounts, WireFormat,
};
pub use workspace_shares::ShareRule;

/// Result of this module's fallible calls.
pub type Result<T, E = GatewayError> = std::result::Result<T, E>;
