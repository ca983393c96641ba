//! Keeps which entries follow control, here and at the other control daemons, and passes
//! changes of it on. See docs/design/whole-fleet.md.

mod follower_list;
mod member_followers;
mod named_entries;

pub(super) use follower_list::{FollowerChanges, FollowerList};
