use super::EndpointIncarnation;
use crate::prelude::*;

/// Identity by which everything that is kept of an endpoint is kept: an
/// endpoint that starts again under its name is another one, which holds and
/// knows nothing of what the one before it did.
impl fmt::Display for EndpointIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born_ms {
            0 => f.write_str(&self.endpoint),
            born_ms => write!(f, "{}@{born_ms}", self.endpoint),
        }
    }
}
