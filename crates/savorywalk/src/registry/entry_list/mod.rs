//! The list of entries that follow control, at this and at the other control daemons, with
//! the changes of it that are sent to daemons and entries. See docs/design/whole-fleet.md.

#[cfg(test)]
mod capacity_list_tests;
mod entry_capacity;
mod follower_list;
mod member_followers;
mod named_entries;

pub use entry_capacity::EntryCapacity;
pub(super) use follower_list::{FollowerChanges, FollowerList};
