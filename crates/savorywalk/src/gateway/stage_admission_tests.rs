use super::*;
use crate::gateway::stage_forecast::tests::table;

fn backlog(timely: u32, late: u32) -> PieceBacklog {
    PieceBacklog {
        timely: vec![timely],
        late,
        pieces_per_second: 50,
        late_per_second: 50,
    }
}

fn verdict(due_ms: u64, left_ms: u64, backlogs: &[PieceBacklog]) -> StageVerdict {
    let table = table();
    let route = table.routes().next().unwrap();
    let query = StageQuery {
        table: &table,
        route,
        pieces: &[0, 1, 6, 9],
        rank: 0,
        due: Duration::from_millis(due_ms),
        left: Duration::from_millis(left_ms),
    };
    judge(query, backlogs)
}

fn at_third(backlog: PieceBacklog) -> [PieceBacklog; 4] {
    let idle = PieceBacklog::default;
    [idle(), idle(), backlog, idle()]
}

#[test]
fn idle_pools_take_everything() {
    let backlogs = at_third(PieceBacklog::default());
    assert_eq!(verdict(2_200, 15_000, &backlogs), StageVerdict::Timely);
}

#[test]
fn a_short_backlog_makes_a_request_late_and_it_is_still_served() {
    let backlogs = at_third(backlog(25, 4));
    assert_eq!(verdict(1_500, 15_000, &backlogs), StageVerdict::Late);
}

/// asist-kosice scale-2: half of a pool was gone and 500 pieces waited; a
/// request would have waited for eight seconds.
#[test]
fn a_long_backlog_refuses_at_once_and_says_when_to_come_back() {
    let backlogs = at_third(backlog(30, 500));
    let StageVerdict::Refused { retry_after } = verdict(1_000, 15_000, &backlogs) else {
        panic!("it was begun");
    };
    assert_eq!(retry_after, RETRY_BOUNDS.1);
}

#[test]
fn late_work_of_others_does_not_keep_out_what_can_be_in_time() {
    let backlogs = at_third(backlog(0, 500));
    assert_eq!(verdict(2_200, 15_000, &backlogs), StageVerdict::Timely);
}

#[test]
fn pools_of_stages_that_are_left_out_do_not_matter() {
    let mut backlogs = at_third(PieceBacklog::default());
    backlogs[0] = backlog(500, 500);
    assert_eq!(verdict(2_200, 15_000, &backlogs), StageVerdict::Timely);
}
