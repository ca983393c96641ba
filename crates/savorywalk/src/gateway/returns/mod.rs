//! When refused callers may return: how long to wait, at a reserved time, or not at all. See
//! docs/design/returns.md.

mod return_time;

pub use return_time::ReturnTime;
