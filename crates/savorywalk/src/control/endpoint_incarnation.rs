use super::EndpointIncarnation;
use crate::prelude::*;

/// The key under which all state of an endpoint is stored: `endpoint@born_ms`, or only
/// the endpoint if `born_ms` is 0.
///
/// An endpoint that restarts under the same name gets another key, because it has
/// none of the state of the earlier incarnation.
impl fmt::Display for EndpointIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born_ms {
            0 => f.write_str(&self.endpoint),
            born_ms => write!(f, "{}@{born_ms}", self.endpoint),
        }
    }
}
