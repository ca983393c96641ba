use super::*;

/// On every played day all workspaces have rank 1. Taking it alone made short
/// replies as urgent as the briefs that are worth ten times as much.
#[test]
fn routes_are_told_apart_where_workspaces_are_equal() {
    assert!(request_rank(Some(1), 0) < request_rank(Some(1), 2));
    assert!(engine_rank(request_rank(Some(1), 0)) < engine_rank(request_rank(Some(1), 2)));
}

#[test]
fn the_workspace_goes_before_the_route() {
    assert!(request_rank(Some(0), 5) < request_rank(Some(1), 0));
    assert!(engine_rank(request_rank(Some(0), 5)) < engine_rank(request_rank(Some(1), 0)));
}

#[test]
fn a_route_speaks_for_a_workspace_without_a_rank() {
    assert!(request_rank(Some(0), 3) < request_rank(None, 2));
    assert!(request_rank(None, 2) < request_rank(Some(3), 0));
}

#[test]
fn engines_take_ten_ranks() {
    assert!((0..=u8::MAX).all(|rank| engine_rank(rank) <= LAST_ENGINE_RANK));
}

#[test]
fn a_turn_goes_before_better_routes_and_behind_better_workspaces() {
    assert_eq!(turn_rank(Some(1)), request_rank(Some(1), 0));
    assert!(turn_rank(Some(1)) > request_rank(Some(0), 5));
    assert_eq!(turn_rank(None), request_rank(None, 0));
}
