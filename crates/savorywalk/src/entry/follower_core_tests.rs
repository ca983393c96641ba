use super::*;

const VOTERS: [&str; 3] = ["control-1", "control-2", "control-3"];

struct Scene {
    start: Instant,
    core: FollowerCore,
}

impl Scene {
    /// An entry that confirmed version 5 and has heard nothing since.
    fn silent() -> Self {
        let start = Instant::now();
        let mut core = FollowerCore::new(VOTERS.len());
        core.set_other_entries(2);
        core.confirm(start, 5);
        Self { start, core }
    }

    fn late(&self) -> Instant {
        self.start + CONFIRMATION_TIME * 3
    }

    fn voter(&mut self, name: &str, has_leader: bool) {
        let report = PeerReport::Voter { has_leader };
        self.core.report(self.late(), peer(name), report);
    }

    fn entry(&mut self, version: u64, confirmed_ago: Option<Duration>) {
        let report = PeerReport::Entry {
            version,
            confirmed_ago,
        };
        self.core.report(self.late(), peer("entry-2"), report);
    }

    fn standing(&self) -> FollowerStanding {
        self.core.standing(self.late())
    }
}

fn peer(name: &str) -> PeerName {
    PeerName::new(name).expect("a good name")
}

#[test]
fn an_entry_learns_before_it_serves() {
    let mut core = FollowerCore::new(3);
    let now = Instant::now();
    let report = PeerReport::Entry {
        version: 0,
        confirmed_ago: Some(Duration::ZERO),
    };
    core.report(now, peer("entry-2"), report);
    assert_eq!(core.standing(now), FollowerStanding::Learning);
    core.confirm(now, 1);
    assert_eq!(core.standing(now), FollowerStanding::Confirmed);
}

#[test]
fn a_lone_silence_is_stale() {
    assert_eq!(Scene::silent().standing(), FollowerStanding::Stale);
}

#[test]
fn a_majority_of_voters_without_a_leader_is_no_quorum() {
    let mut scene = Scene::silent();
    scene.voter(VOTERS[0], false);
    assert_eq!(scene.standing(), FollowerStanding::Stale);
    scene.voter(VOTERS[1], false);
    assert_eq!(scene.standing(), FollowerStanding::NoQuorum);
}

#[test]
fn a_voter_that_sees_a_leader_means_that_others_can_confirm() {
    let mut scene = Scene::silent();
    scene.voter(VOTERS[0], true);
    scene.entry(5, Some(CONFIRMATION_TIME * 2));
    assert_eq!(scene.standing(), FollowerStanding::Stale);
}

#[test]
fn an_old_report_says_nothing() {
    let mut scene = Scene::silent();
    scene.voter(VOTERS[0], false);
    scene.voter(VOTERS[1], false);
    let later = scene.late() + CONFIRMATION_TIME * 2;
    assert_eq!(scene.core.standing(later), FollowerStanding::Stale);
}

#[test]
fn when_no_entry_can_confirm_all_go_on() {
    let mut scene = Scene::silent();
    scene.entry(5, Some(CONFIRMATION_TIME * 2));
    assert_eq!(scene.standing(), FollowerStanding::NoQuorum);
}

#[test]
fn a_few_entries_cut_off_together_are_stale() {
    let mut scene = Scene::silent();
    scene.core.set_other_entries(5);
    scene.entry(5, Some(CONFIRMATION_TIME * 2));
    assert_eq!(scene.standing(), FollowerStanding::Stale);
}

#[test]
fn another_entrys_confirmation_of_the_same_version_counts() {
    let mut scene = Scene::silent();
    scene.entry(5, Some(Duration::from_secs(1)));
    assert_eq!(scene.standing(), FollowerStanding::Confirmed);
}

#[test]
fn a_newer_version_elsewhere_is_stale_until_it_is_here() {
    let mut scene = Scene::silent();
    scene.entry(6, Some(CONFIRMATION_TIME * 2));
    assert_eq!(scene.standing(), FollowerStanding::Stale);
    assert_eq!(scene.core.newer_at(), Some(&peer("entry-2")));
    scene.core.confirm(scene.start, 6);
    assert_eq!(scene.core.newer_at(), None);
    assert_eq!(scene.standing(), FollowerStanding::NoQuorum);
}

#[test]
fn a_sole_entry_goes_on_when_no_voter_answers() {
    let mut scene = Scene::silent();
    scene.core.set_other_entries(0);
    assert_eq!(scene.standing(), FollowerStanding::NoQuorum);
}

#[test]
fn an_old_confirmation_never_replaces_a_newer_one() {
    let mut scene = Scene::silent();
    let late = scene.late();
    scene.core.confirm(late, 7);
    scene.core.confirm(scene.start, 6);
    assert_eq!(scene.core.confirmation(late), (7, Some(Duration::ZERO)));
}
