use super::own_usage::{MAX_NOTICE_WORKSPACES, OwnUsage};
use super::remote_usage::RemoteUsage;
use super::{ShareLedger, ShareRule, WorkspaceLabels};
use crate::generated::work::UsageNotice;
use crate::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// Notices of one coordinator, between which a workspace uses a second each.
fn notices(epoch: u64, count: usize) -> Vec<UsageNotice> {
    let mut usage = OwnUsage::new(epoch);
    let notices = (0..count).map(|_| {
        usage.add(&"w".into(), SECOND);
        usage.next_notice("shard").unwrap()
    });
    notices.collect()
}

fn total_growth(remote: &mut RemoteUsage, now: Instant, notices: &[&UsageNotice]) -> Duration {
    let grown = notices.iter().flat_map(|notice| remote.apply(now, notice));
    grown.map(|(_, grown)| grown).sum()
}

#[test]
fn lost_doubled_and_late_notices_change_nothing() {
    let now = Instant::now();
    let sent = notices(1, 6);
    let [first, second, third, fourth, fifth, sixth] = [0, 1, 2, 3, 4, 5].map(|at| &sent[at]);
    for received in [
        vec![first, second, third, fourth, fifth, sixth],
        vec![first, sixth],
        vec![first, second, second, third, third, sixth, sixth],
        vec![first, third, second, sixth, fourth, fifth],
    ] {
        let mut remote = RemoteUsage::default();
        assert_eq!(total_growth(&mut remote, now, &received), 5 * SECOND);
    }
}

/// The sums of a coordinator that is replaced, or of a second one, are counted once.
#[test]
fn each_epoch_counts_once() {
    let now = Instant::now();
    let mut remote = RemoteUsage::default();
    let (old, new) = (notices(1, 4), notices(2, 4));
    let received: Vec<&UsageNotice> = old.iter().zip(&new).flat_map(|(a, b)| [a, b]).collect();
    assert_eq!(total_growth(&mut remote, now, &received), 6 * SECOND);
    assert_eq!(
        total_growth(&mut remote, now, &[&old[3], &new[3]]),
        Duration::ZERO
    );
}

#[test]
fn a_coordinator_that_was_silent_counts_from_its_next_notice() {
    let now = Instant::now();
    let mut remote = RemoteUsage::default();
    let sent = notices(1, 4);
    total_growth(&mut remote, now, &[&sent[0]]);
    let later = now + 6 * SECOND;
    assert_eq!(
        total_growth(&mut remote, later, &[&sent[2]]),
        Duration::ZERO
    );
    assert_eq!(total_growth(&mut remote, later, &[&sent[3]]), SECOND);
}

#[test]
fn notices_are_bounded_and_name_all_workspaces_in_turn() {
    let mut usage = OwnUsage::new(1);
    let names: Vec<Arc<str>> = (0..200).map(|index| format!("w{index}").into()).collect();
    names.iter().for_each(|name| usage.add(name, SECOND));
    let mut named = BTreeSet::new();
    let mut repeated = BTreeSet::new();
    for round in 0..16 {
        usage.add(&names[0], SECOND);
        let notice = usage.next_notice("").unwrap();
        assert!(notice.workspaces.len() <= MAX_NOTICE_WORKSPACES);
        let workspaces = notice.workspaces.into_iter().map(|usage| usage.workspace);
        match round < 4 {
            true => named.extend(workspaces),
            false => repeated.extend(workspaces),
        }
    }
    assert_eq!((named.len(), repeated.len()), (200, 200));
}

#[test]
fn the_least_recently_active_workspace_is_forgotten() {
    let mut now = Instant::now();
    let mut ledger = ShareLedger::default();
    let waiting: Arc<str> = "waiting".into();
    ledger.enqueue(now, &waiting);
    for index in 0..3_000 {
        now += Duration::from_millis(1);
        let workspace: Arc<str> = format!("w{index}").into();
        ledger.enqueue(now, &workspace);
        ledger.dequeue(&workspace);
        ledger.begin(now, &workspace, SECOND);
    }
    assert_eq!(ledger.len(), 1_024);
    assert!(ledger.turn("w2999") > ledger.turn("waiting"));
    assert_eq!(ledger.turn("w0"), ledger.turn("waiting"));
}

/// A plan costs a hundredth of a weight more than the bound of a lead.
#[test]
fn small_weights_are_charged_in_full() {
    let now = Instant::now();
    let mut ledger = ShareLedger::default();
    let names: [Arc<str>; 2] = ["small".into(), "usual".into()];
    let small = ShareRule {
        weight: 0.01,
        ..ShareRule::default()
    };
    ledger.set_rules(FastMap::from_iter([("small".into(), small)]));
    names.iter().for_each(|name| ledger.enqueue(now, name));
    let mut counts = [0_u32; 2];
    for _ in 0..1_010 {
        let next = usize::from(ledger.turn("usual") <= ledger.turn("small"));
        ledger.begin(now, &names[next], SECOND);
        counts[next] += 1;
    }
    assert_eq!(counts, [10, 1_000]);
}

/// One workspace waits for a pool that has stopped, while two others compete for another pool.
#[test]
fn a_workspace_that_never_begins_does_not_end_the_turns_of_others() {
    let now = Instant::now();
    let mut ledger = ShareLedger::default();
    let [stuck, first, second]: [Arc<str>; 3] = ["stuck", "first", "second"].map(Arc::from);
    for workspace in [&stuck, &first, &second] {
        ledger.enqueue(now, workspace);
    }
    let mut begun = [0; 2];
    for _ in 0..400 {
        let is_second = ledger.turn(&second) < ledger.turn(&first);
        let workspace = if is_second { &second } else { &first };
        begun[usize::from(is_second)] += 1;
        ledger.begin(now, workspace, Duration::from_millis(50));
    }
    assert_eq!(begun, [200, 200]);
}

#[test]
fn labels_are_bounded_and_kept() {
    let mut labels = WorkspaceLabels::default();
    let used = |from: u64| (from..from + 40).map(|index| (format!("w{index}").into(), SECOND));
    for from in [0, 20, 100] {
        labels.label(used(from).collect());
    }
    let labelled = labels.label(used(0).collect());
    let distinct: BTreeSet<_> = labelled.iter().map(|(label, _)| label).collect();
    assert_eq!(distinct.len(), 33);
}
