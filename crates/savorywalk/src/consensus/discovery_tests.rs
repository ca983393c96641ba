//! Discovery from seed nodes, over a network whose only faults are isolated
//! nodes.

use super::seed_network::{REPLACE_AFTER, SeedNetwork, number};
use super::*;
use crate::prelude::*;

fn founded() -> SeedNetwork {
    let mut network = SeedNetwork::new();
    (1..=5).for_each(|node| network.start(node, 1, true));
    network.run(Duration::from_secs(5));
    network
}

#[test]
fn seeds_found_one_cluster_and_admit_the_other_nodes() {
    let network = founded();
    assert_eq!(network.voters(), ["1.1", "2.1", "3.1", "4.1", "5.1"]);
    let clusters: BTreeSet<u64> = network.cores.values().map(|core| core.cluster).collect();
    assert_eq!(clusters.len(), 1);
}

#[test]
fn no_replica_founds_a_cluster_after_the_first_start() {
    let mut network = SeedNetwork::new();
    (1..=5).for_each(|node| network.start(node, 1, false));
    network.run(Duration::from_secs(5));
    let mut cores = network.cores.values();
    assert!(cores.all(|core| core.membership().is_none()));
}

#[test]
fn a_newcomer_at_another_address_replaces_a_silent_voter() {
    let mut network = founded();
    network.cores.remove(&number(2));
    network.start(9, 1, false);
    network.run(REPLACE_AFTER * 2);
    assert_eq!(network.voters(), ["1.1", "3.1", "4.1", "5.1", "9.1"]);
}

#[test]
fn a_replica_that_lost_its_disk_rejoins_under_a_new_incarnation() {
    let mut network = founded();
    network.start(4, 2, false);
    network.run(Duration::from_secs(3));
    assert_eq!(network.voters(), ["1.1", "2.1", "3.1", "4.2", "5.1"]);
}

#[test]
fn a_voter_that_is_isolated_for_a_while_stays_a_voter() {
    let mut network = founded();
    network.isolated.insert(number(3));
    network.run(REPLACE_AFTER * 2);
    network.isolated.clear();
    network.run(Duration::from_secs(3));
    assert!(network.voters().contains(&"3.1".to_string()));
}

#[test]
fn a_replica_that_was_replaced_while_isolated_joins_again() {
    let mut network = founded();
    network.isolated.insert(number(3));
    network.start(9, 1, false);
    network.run(REPLACE_AFTER * 2);
    assert!(!network.voters().contains(&"3.1".to_string()));
    network.isolated.clear();
    network.run(Duration::from_secs(5));
    let membership = network.leader().membership().expect("a membership");
    let returned = membership.get(ReplicaId::new(number(3), 1));
    assert!(returned.is_some(), "it is a member again");
}

#[test]
fn a_newcomer_joins_after_the_leader_has_failed() {
    let mut network = founded();
    let leader = network.leader().id().node();
    network.cores.remove(&leader);
    network.run(Duration::from_secs(2));
    network.start(8, 1, false);
    network.run(REPLACE_AFTER * 2);
    assert!(network.voters().contains(&"8.1".to_string()));
}
