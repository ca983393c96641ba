use super::*;
use crate::directory::EndpointLoad;

const MAX_LEASE: Duration = Duration::from_secs(15);
const TOMBSTONE: Duration = Duration::from_secs(60);

fn announcement(incarnation: u64, sequence: u64, state: EndpointState) -> EndpointAnnouncement {
    EndpointAnnouncement {
        endpoint: "engine-1".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        pool: "generators".into(),
        data_center: "bole".into(),
        incarnation,
        sequence,
        state,
        lease_ms: 3_000,
        models: Vec::new(),
        load: EndpointLoad::default(),
        slots: 4,
        cache_events: Vec::new(),
    }
}

fn announce(
    directory: &mut EndpointDirectory,
    now: Instant,
    announcement: EndpointAnnouncement,
) -> AnnouncementOutcome {
    directory.announce(now, announcement, MAX_LEASE).unwrap()
}

#[test]
fn an_older_announcement_never_undoes_a_leaving_notice() {
    let now = Instant::now();
    let mut directory = EndpointDirectory::default();
    announce(
        &mut directory,
        now,
        announcement(1, 5, EndpointState::Leaving),
    );
    for sequence in [4, 5, 6] {
        let late = announcement(1, sequence, EndpointState::Serving);
        assert_eq!(
            announce(&mut directory, now, late),
            AnnouncementOutcome::Superseded
        );
    }
    let restarted = announcement(2, 1, EndpointState::Serving);
    assert_eq!(
        announce(&mut directory, now, restarted),
        AnnouncementOutcome::Applied
    );
}

#[test]
fn a_lease_that_runs_out_takes_the_endpoint_away() {
    let now = Instant::now();
    let mut directory = EndpointDirectory::default();
    announce(
        &mut directory,
        now,
        announcement(1, 1, EndpointState::Serving),
    );
    let record = Arc::clone(&directory.snapshot().pool("generators")[0]);
    assert!(record.takes_work(now + Duration::from_millis(2_999)));
    assert!(!record.takes_work(now + Duration::from_millis(3_000)));
    assert_eq!(directory.expire(now + Duration::from_secs(3), TOMBSTONE), 1);
    assert!(directory.snapshot().pool("generators").is_empty());
}

#[test]
fn a_leaver_outlives_its_lease_as_a_tombstone() {
    let now = Instant::now();
    let mut directory = EndpointDirectory::default();
    announce(
        &mut directory,
        now,
        announcement(1, 9, EndpointState::Leaving),
    );
    let later = now + Duration::from_secs(30);
    assert_eq!(directory.expire(later, TOMBSTONE), 0);
    let late = announcement(1, 8, EndpointState::Serving);
    assert_eq!(
        announce(&mut directory, later, late),
        AnnouncementOutcome::Superseded
    );
}

#[test]
fn a_lease_is_capped_by_the_configuration() {
    let now = Instant::now();
    let mut directory = EndpointDirectory::default();
    let mut greedy = announcement(1, 1, EndpointState::Serving);
    greedy.lease_ms = u32::MAX;
    announce(&mut directory, now, greedy);
    assert_eq!(
        directory.snapshot().pool("generators")[0].expires,
        now + MAX_LEASE
    );
}

#[test]
fn a_lease_of_zero_is_refused() {
    let mut empty = announcement(1, 1, EndpointState::Serving);
    empty.lease_ms = 0;
    let result = EndpointDirectory::default().announce(Instant::now(), empty, MAX_LEASE);
    assert_eq!(result, Err(AnnouncementError::EmptyLease));
}
