//! Sends work that a shard can't begin in time to the shard that has most room, by the loads
//! that shards tell each other. See docs/design/shard-balance.md.

mod report_pacer;
mod shard_loads;
mod shard_report;

pub(super) use report_pacer::{ReportPacer, TELL_INTERVAL};
pub(super) use shard_loads::{BalanceQuery, OtherShard, ShardChoice, ShardLoads};
pub(super) use shard_report::ShardReport;
