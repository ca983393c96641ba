//! One attempt is one call of one endpoint for one stage. This module speaks
//! the endpoints' published formats and checks that an answer is whole and
//! meant for the attempt that asked. See docs/design/attempts.md.

mod attempt_error;
mod attempt_id;
mod completion_stream;
mod endpoint_client;
mod stage_call;
mod stage_dispatcher;
mod stage_formats;

pub use attempt_error::AttemptError;
pub use attempt_id::{AttemptId, RequestId};
pub use endpoint_client::{ATTEMPT_HEADER, DEADLINE_HEADER, EndpointClient};
pub use stage_call::{StageCall, StageReply, StageState, TokenSink};
pub use stage_dispatcher::{StageDispatcher, StageFailure, StageOutcome, StageRequest};

/// Result of one attempt.
pub type Result<T> = std::result::Result<T, AttemptError>;
