//! Runs the cores of membership and directory at full size in one process,
//! without sockets and on a clock of its own, to tell what they cost a daemon
//! and how fast they converge. See docs/measurements/membership.md.

mod arguments;
mod fleet_plan;
mod line_fit;
mod load_samples;
mod scenarios;
mod traffic_tally;
mod virtual_daemon;
mod virtual_fleet;

use arguments::{MembershipScale, MembershipScaleCmd};
use fleet_plan::FleetPlan;

fn main() {
    let arguments = MembershipScale::from_env_or_exit();
    let seed = arguments.seed.unwrap_or(1);
    match arguments.subcommand {
        MembershipScaleCmd::Cost(options) => scenarios::cost(seed, options.fan_out),
        MembershipScaleCmd::Size(options) => {
            let target = FleetPlan::target();
            let plan = FleetPlan {
                daemons: options.daemons.unwrap_or(target.daemons),
                endpoints: options.endpoints.unwrap_or(target.endpoints),
                changes_per_minute: options.changes.unwrap_or(target.changes_per_minute),
                fan_out: options.fan_out,
                ..target
            };
            scenarios::size(seed, plan);
        }
        MembershipScaleCmd::Converge(_) => scenarios::converge(seed),
        MembershipScaleCmd::Faults(_) => scenarios::faults(seed),
        MembershipScaleCmd::Partition(options) => {
            scenarios::partition(seed, options.seconds.unwrap_or(3_600));
        }
    }
}
