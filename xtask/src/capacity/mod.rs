//! Recomputes the tables of docs/CAPACITY.md from the recorded slopes, so that
//! the page can't say what no run has shown.

mod capacity_page;
mod deployment_size;
mod slope_book;
mod slope_error;

pub(crate) use capacity_page::{check, write};
pub(crate) use slope_error::SlopeError;

/// Result of this module's fallible calls.
pub(crate) type Result<T> = std::result::Result<T, SlopeError>;
