//! Control and entries as real processes: what was acknowledged outlives the
//! leader, and every entry gets it.

mod support;

use support::cluster_test::ClusterTest;

const VOTERS: usize = 3;
const ENTRIES: usize = 2;
const FIRST_ENTRY: usize = VOTERS;
const SECOND_ENTRY: usize = VOTERS + 1;

fn merge(round: u64) -> String {
    let share = 2 + round;
    format!(r#"{{"workspaces":{{"adama-dispatch":{{"share":{share}}}}}}}"#)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_patch_at_one_entry_is_in_force_at_all_and_outlives_its_leader() {
    let mut cluster = ClusterTest::start(VOTERS, ENTRIES);
    cluster.wait_for_version(1).await;
    for round in 0..3 {
        let (version, id) = (1 + round, format!("patch-{round}"));
        let first = cluster.daemon(FIRST_ENTRY);
        let answer = first.patch(version, &id, &merge(round)).await;
        assert_eq!(answer.status, 200, "{}", answer.body);

        let leader = cluster.leader().await;
        cluster.kill(leader);
        // Its leader is dead, and another entry is asked: the outcome stands.
        let second = cluster.daemon(SECOND_ENTRY);
        let again = second.patch(version, &id, &merge(round)).await;
        assert_eq!((again.status, &again.body), (200, &answer.body));
        let other = second
            .patch(version, &format!("late-{round}"), &merge(9))
            .await;
        assert_eq!(other.status, 412, "{}", other.body);

        cluster.start_daemon(leader);
        cluster.wait_for_version(version + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_go_on_without_a_quorum_and_a_restarted_one_waits() {
    let mut cluster = ClusterTest::start(VOTERS, ENTRIES);
    cluster.wait_for_version(1).await;
    cluster.daemon(FIRST_ENTRY).wait_until_ready().await;
    cluster.kill(0);
    cluster.kill(1);
    cluster.daemon(FIRST_ENTRY).wait_for_standing("no_quorum");
    assert!(cluster.daemon(FIRST_ENTRY).is_ready().await);

    // One that has just started can't know what it missed.
    cluster.kill(SECOND_ENTRY);
    cluster.start_daemon(SECOND_ENTRY);
    assert!(!cluster.daemon(SECOND_ENTRY).is_ready().await);

    cluster.start_daemon(0);
    cluster.daemon(SECOND_ENTRY).wait_until_ready().await;
    cluster.daemon(FIRST_ENTRY).wait_for_standing("confirmed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_loss_right_after_a_repair_loses_no_patch() {
    let mut cluster = ClusterTest::start(VOTERS, 1);
    cluster.wait_for_version(1).await;
    let answer = cluster.daemon(FIRST_ENTRY).patch(1, "one", &merge(1)).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let repaired = cluster.leader().await;
    cluster.kill(repaired);
    cluster.lose_disk(repaired);
    cluster.start_daemon(repaired);
    cluster.daemon(repaired).wait_until_repaired(VOTERS).await;

    let lost = (repaired + 1) % VOTERS;
    cluster.kill(lost);
    let entry = cluster.daemon(FIRST_ENTRY);
    let again = entry.patch(1, "one", &merge(1)).await;
    assert_eq!((again.status, &again.body), (200, &answer.body));
    let next = entry.patch(2, "two", &merge(2)).await;
    assert_eq!(next.status, 200, "{}", next.body);
    cluster.wait_for_version(3).await;
}
