//! Has every request answered before a stopping daemon ends. See docs/operators/upgrade-and-restart.md.

mod stop_schedule;

pub(super) use stop_schedule::StopSchedule;
