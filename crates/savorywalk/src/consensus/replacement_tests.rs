//! Replacement of voters by replicas with empty disks at other addresses. See
//! docs/design/voter-replacement.md.

use super::seed_network::{REPLACE_AFTER, SeedNetwork, number};
use super::*;
use crate::prelude::*;

/// Least time between the start of a successor and the next removal, by the deployment's
/// bounds.
const CATCH_UP: Duration = Duration::from_secs(4);
const REPLACEMENTS: u32 = 12;

/// Which replica is removed next.
#[derive(Clone, Copy, Debug)]
enum Victim {
    Leader,
    Oldest,
}

fn next_victim(network: &SeedNetwork, victim: Victim) -> NodeNumber {
    match victim {
        Victim::Leader => network.leader().id().node(),
        Victim::Oldest => *network.cores.keys().next().expect("a replica"),
    }
}

/// Fails if the newest leader's membership needs more votes than its running voters have.
fn assert_majority_runs(network: &SeedNetwork, context: &str) {
    let leader = network.find_leader();
    let leader = leader.unwrap_or_else(|| panic!("no leader {context}"));
    let membership = leader.membership().expect("a membership");
    let running = network.cores.values().map(ReplicaCore::id).collect();
    assert!(
        membership.is_quorum(&running),
        "no majority runs {context}: {:?}",
        network.voters()
    );
}

/// Guards against voters that are lost for good and still count, until those that run are no
/// majority any more.
#[rstest::rstest]
fn replacements_one_at_a_time_keep_a_majority(
    #[values(3, 5, 15)] nodes: u32,
    #[values(Victim::Leader, Victim::Oldest)] victim: Victim,
    #[values(0, 200, 1_000, 10_000)] pause_ms: u64,
) {
    let mut network = SeedNetwork::founded(nodes);
    for replacement in 1..=REPLACEMENTS {
        let removed = next_victim(&network, victim);
        network.cores.remove(&removed);
        network.run(Duration::from_millis(pause_ms));
        network.start(100 + replacement, 1, false);
        network.run(CATCH_UP);
        let context = format!("after replacement {replacement}");
        assert_majority_runs(&network, &context);
        assert!(
            !network
                .leader()
                .membership()
                .unwrap()
                .voters()
                .any(|id| id.node() == removed),
            "the lost voter still counts {context}"
        );
    }
    assert_eq!(network.voters().len(), nodes.min(9) as usize);
}

/// Guards against voters that are lost right after their successor was promoted, as in a
/// planned replacement.
#[rstest::rstest]
fn replacements_whose_successor_starts_first_keep_a_majority(#[values(3, 5, 15)] nodes: u32) {
    let mut network = SeedNetwork::founded(nodes);
    for replacement in 1..=REPLACEMENTS {
        let removed = next_victim(&network, Victim::Oldest);
        network.start(100 + replacement, 1, false);
        network.run(CATCH_UP);
        network.cores.remove(&removed);
        network.run(Duration::from_secs(3));
        assert_majority_runs(&network, &format!("after replacement {replacement}"));
    }
}

/// Guards against a newcomer that is promoted as an extra voter before its predecessor counts
/// as lost.
#[test]
fn a_newcomer_waits_while_a_voter_is_silent() {
    let mut network = SeedNetwork::founded(5);
    network.cores.remove(&number(2));
    network.start(9, 1, false);
    network.run(REPLACE_AFTER / 2);
    assert_eq!(network.voters(), ["1.1", "2.1", "3.1", "4.1", "5.1"]);
    network.run(REPLACE_AFTER);
    assert_eq!(network.voters(), ["1.1", "3.1", "4.1", "5.1", "9.1"]);
}

/// Guards against a silence that is counted anew by each leader, so that it never ends where
/// leaders change more often than that.
#[test]
fn a_silence_counts_on_under_a_new_leader() {
    let mut network = SeedNetwork::founded(7);
    let leader = network.leader().id().node();
    let silent = *network.cores.keys().find(|node| **node != leader).unwrap();
    network.cores.remove(&silent);
    network.run(REPLACE_AFTER - Duration::from_millis(300));
    network.cores.remove(&leader);
    network.start(9, 1, false);
    network.run(Duration::from_millis(2_000));
    let voters = network.leader().membership().unwrap();
    assert!(voters.voters().all(|id| id.node() != silent));
    assert!(voters.voters().any(|id| id.node() == number(9)));
}

/// Guards against the loss of a voter that lives: it was only frozen or cut off, for less than
/// the time after which it counts as lost, while a newcomer waited.
#[test]
fn a_voter_that_answers_again_in_time_is_not_replaced() {
    let mut network = SeedNetwork::founded(5);
    network.isolated.insert(number(2));
    network.start(9, 1, false);
    network.run(REPLACE_AFTER - Duration::from_millis(500));
    network.isolated.clear();
    network.run(Duration::from_secs(2));
    assert_eq!(network.voters(), ["1.1", "2.1", "3.1", "4.1", "5.1", "9.1"]);
}

/// Guards against a majority side of a split that shrinks to a few voters.
#[test]
fn a_split_removes_no_voter_from_an_odd_number() {
    let mut network = SeedNetwork::founded(5);
    let leader = network.leader().id().node();
    let others = network.cores.keys().copied().filter(|node| *node != leader);
    network.isolated = others.take(2).collect();
    network.run(REPLACE_AFTER * 4);
    assert_eq!(network.voters().len(), 5);
}

/// Guards against a voter that never votes or stands for election again after an expulsion,
/// although it was admitted anew.
#[test]
fn a_voter_that_was_replaced_and_admitted_again_votes() {
    let mut network = SeedNetwork::founded(5);
    network.isolated.insert(number(3));
    network.start(9, 1, false);
    network.run(REPLACE_AFTER * 2);
    network.isolated.clear();
    network.run(Duration::from_secs(5));
    assert!(network.voters().contains(&"3.1".to_string()));
    assert!(network.cores[&number(3)].is_voter());
    let others: Vec<NodeNumber> = [1, 2, 4].map(number).into();
    for node in others {
        network.cores.remove(&node);
        network.run(Duration::from_secs(4));
    }
    assert_majority_runs(&network, "with the voter admitted again");
}

/// Guards against learners that are lost for good and fill the places of members, so that no
/// successor of a voter is admitted any more.
#[test]
fn lost_learners_leave_room_for_newcomers() {
    let mut network = SeedNetwork::founded(10);
    for replacement in 1..=40 {
        let membership = network.leader().membership().expect("a membership");
        let is_learner = |id: &ReplicaId| membership.get(*id).is_some_and(|member| !member.voter);
        let mut running = network.cores.values().map(ReplicaCore::id);
        let learner = running.find(is_learner).expect("a learner");
        network.cores.remove(&learner.node());
        network.start(100 + replacement, 1, false);
        network.run(CATCH_UP);
    }
    let newest = ReplicaId::new(number(140), 1);
    let membership = network.leader().membership().expect("a membership");
    assert!(
        membership.get(newest).is_some(),
        "the newcomer has no place"
    );
}

/// Guards against a majority that grows by a promotion while a lost voter is listed: one more loss
/// at that moment would then end control for good.
#[rstest::rstest]
fn no_promotion_raises_the_majority_beside_a_lost_voter(#[values(3, 5, 6, 15)] nodes: u32) {
    let mut network = SeedNetwork::founded(nodes);
    let quorum = network.leader().membership().unwrap().quorum();
    network.largest_quorum = 0;
    for replacement in 1..=4 {
        let removed = next_victim(&network, Victim::Leader);
        network.cores.remove(&removed);
        network.start(100 + replacement, 1, false);
        network.run(CATCH_UP);
    }
    assert_eq!(network.largest_quorum, quorum);
}

/// Guards against a split in which the side with a majority removes voters of the other side that
/// live, and is left with few.
#[test]
fn a_split_removes_one_voter_at_most_from_an_even_number() {
    let mut network = SeedNetwork::founded(8);
    let leader = network.leader().id().node();
    let others = network.cores.keys().copied().filter(|node| *node != leader);
    network.isolated = others.take(3).collect();
    network.run(REPLACE_AFTER * 4);
    assert_eq!(network.voters().len(), 7);
    network.isolated.clear();
    network.run(Duration::from_secs(5));
    assert_eq!(network.voters().len(), 8);
}
