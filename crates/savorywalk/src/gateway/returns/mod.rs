//! When refused callers may return: how long to wait, at a reserved time, or not at all. See
//! docs/design/returns.md.

mod calendar_counts;
mod pool_outlook;
mod return_calendar;
mod return_time;
mod shortage_record;
mod usual_arrivals;

pub use calendar_counts::CalendarCounts;
pub(in crate::gateway) use pool_outlook::PoolOutlook;
pub(in crate::gateway) use return_calendar::{ReturnCalendar, ReturnClaim, ReturnSpan};
pub use return_time::ReturnTime;
pub(in crate::gateway) use usual_arrivals::UsualArrivals;
