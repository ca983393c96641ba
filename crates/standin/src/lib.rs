//! Small stand-ins for the systems that savorywalk meets: model engines, stage
//! pools, plain services, the weight store. They speak the formats of
//! docs/ENDPOINTS.md and can be told to misbehave. They are fakes at the
//! interface, not a simulator. See docs/design/stand-ins.md.

mod announcement_options;
mod announcer;
mod answer_pieces;
mod deployment;
mod endpoint_fault;
mod endpoint_order;
mod endpoint_response;
mod endpoint_server;
mod endpoint_work;
mod engine_batch;
mod engine_stream;
mod fault_switch;
mod lagged_report;
mod model_engine;
mod order_desk;
mod order_state;
mod path_proxy;
mod prefix_cache;
mod request_handler;
mod run_ledger;
mod silent_connection;
mod standin_endpoint;
mod standin_error;
mod standin_options;
mod stream_table;
mod token_bucket;
mod weight_store;
mod work_queue;
mod work_receipts;

pub use announcement_options::AnnouncementOptions;
pub use announcer::{AnnounceTarget, start_announcer};
pub use answer_pieces::AnswerPieces;
pub use deployment::{Deployment, DeploymentPlan, PlannedEndpoint, token_for};
pub use endpoint_fault::EndpointFault;
pub use endpoint_order::{EndpointOrder, FencingNumber, OrderAction};
pub use endpoint_server::EndpointServer;
pub use endpoint_work::EndpointCounts;
pub use fault_switch::FaultSwitch;
pub use order_state::{OrderProgress, OrderRecord, OrderState};
pub use path_proxy::{PathFault, PathProxy, PathState};
pub use run_ledger::RunLedger;
pub use standin_error::StandinError;
pub use standin_options::{StandinKind, StandinOptions};
pub use weight_store::WeightStore;
pub use work_receipts::ReceiptObserver;

/// Result of this crate's fallible calls.
pub type Result<T> = std::result::Result<T, StandinError>;
