//! Admission decides whether a request may start, and makes the promise of
//! `not_run` a type. See docs/design/not-run.md.

mod request_deadline;
mod unstarted_request;

pub use request_deadline::RequestDeadline;
pub use unstarted_request::{
    FirstDispatch, NothingRan, RefusalReason, RequestPhase, RunRefusal, UnstartedRequest,
};
