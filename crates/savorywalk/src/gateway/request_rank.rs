/// Number of ranks of workspaces, and of routes, that are distinguished; documents use a
/// handful.
const RANK_LEVELS: u8 = 16;

/// Number of ranks of each kind that engines distinguish, so that both kinds together fit
/// into the ten ranks of engines.
const ENGINE_LEVELS: u8 = 3;

/// Last rank that engines accept.
const LAST_ENGINE_RANK: u8 = 9;

/// Combines the ranks of a request's workspace and route into one; rank 0 goes first.
///
/// The workspace's rank decides, and the route's rank among requests of equal workspaces. A
/// workspace without a rank gets the rank of the route.
pub fn request_rank(workspace: Option<u8>, route: u8) -> u8 {
    let first = workspace.unwrap_or(route).min(RANK_LEVELS - 1);
    first * RANK_LEVELS + route.min(RANK_LEVELS - 1)
}

/// Rank of a request whose route has fallen behind others: the request counts as one of a
/// route of rank 0. The order of workspaces is unchanged.
pub fn turn_rank(workspace: Option<u8>) -> u8 {
    request_rank(workspace, 0)
}

/// Converts a rank to the smaller range that engines accept.
pub fn engine_rank(rank: u8) -> u8 {
    let first = (rank / RANK_LEVELS).min(ENGINE_LEVELS);
    let second = (rank % RANK_LEVELS).min(ENGINE_LEVELS - 1);
    (first * ENGINE_LEVELS + second).min(LAST_ENGINE_RANK)
}

#[cfg(test)]
#[path = "request_rank_tests.rs"]
mod tests;
