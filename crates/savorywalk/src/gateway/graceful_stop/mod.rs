//! Deadlines by which a stopping daemon answers every request. See
//! docs/operators/upgrade-and-restart.md.

mod stop_schedule;

pub(super) use stop_schedule::StopSchedule;
