/// Ranks of one kind that are told apart; documents use a handful.
const LEVELS: u8 = 16;

/// Ranks of one kind that engines can tell apart, so that both kinds together
/// fit into their ten.
const ENGINE_LEVELS: u8 = 3;

/// Last rank that engines take.
const LAST_ENGINE_RANK: u8 = 9;

/// How urgent a request is, as one number: 0 goes first.
///
/// The rank of its workspace decides, and among requests of equal workspaces
/// the rank of its route. Where a workspace has none, the route's takes its
/// place.
pub fn request_rank(workspace: Option<u8>, route: u8) -> u8 {
    let first = workspace.unwrap_or(route).min(LEVELS - 1);
    first * LEVELS + route.min(LEVELS - 1)
}

/// The rank of a request whose route has fallen behind: as if it were of the first
/// one. Workspaces keep their order.
pub fn turn_rank(workspace: Option<u8>) -> u8 {
    request_rank(workspace, 0)
}

/// The rank that engines are told.
pub fn engine_rank(rank: u8) -> u8 {
    let first = (rank / LEVELS).min(ENGINE_LEVELS);
    let second = (rank % LEVELS).min(ENGINE_LEVELS - 1);
    (first * ENGINE_LEVELS + second).min(LAST_ENGINE_RANK)
}

#[cfg(test)]
#[path = "request_rank_tests.rs"]
mod tests;
