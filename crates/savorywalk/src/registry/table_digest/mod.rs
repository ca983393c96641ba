//! Digests of a table of endpoints, divided into parts. Two daemons compare them part by part,
//! so that only the parts that differ are sent. See docs/design/whole-fleet.md.

mod change_index;
mod part_digests;
mod report_key;

pub(super) use change_index::{ChangeIndex, RecordMark};
pub(super) use part_digests::{PartDigests, parts_for};
pub(super) use report_key::ReportKey;
