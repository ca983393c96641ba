//! Which endpoints with calls in progress send nothing, because a call is given up only for an
//! endpoint that is better off. See docs/design/stalled-calls.md.

mod pending_call;
mod progress_guard;
mod progress_table;
mod search_delay;
mod silent_replacement;
mod stall_end;
mod stall_record;
mod stream_progress;

pub(super) use pending_call::{HeadResult, OpenedCall, PendingCall, StalledCalls};
pub(super) use progress_guard::{CallProgress, ProgressGuard};
pub(super) use progress_table::ProgressTable;
pub(super) use search_delay::{
    HANDOVER_PROBE_DELAY, HANDOVER_TIME, MAX_PROBES, PROBE_TIMEOUT, ReplacementChance, SearchDelay,
};
pub(super) use silent_replacement::SilentReplacement;
pub(super) use stall_end::StallEnd;
pub(super) use stall_record::StallRecord;
pub(super) use stream_progress::{FrameKind, StreamProgress};
