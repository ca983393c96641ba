use std::collections::BTreeSet;

use super::*;

/// Guards against a play that gets the addresses of another one of its process, whose daemons still
/// run.
#[test]
fn networks_of_one_process_differ() {
    /// Plays of `daemon/tests/fault_runs.rs`, the test program with the most, and some more.
    const PLAYS: usize = 28;
    let networks: BTreeSet<Ipv4Addr> = (0..PLAYS).map(|_| next_network()).collect();
    assert_eq!(networks.len(), PLAYS);
}
