use super::{EndpointIncarnation, EndpointRefresh, EndpointReport};

impl EndpointReport {
    /// The incarnation that it tells of.
    pub fn incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation {
            endpoint: self.id.clone(),
            born_ms: self.born_ms,
        }
    }

    /// Its place among the reports of all incarnations of its endpoint: a
    /// later incarnation goes before, whatever it has counted up to.
    pub fn order(&self) -> ReportOrder {
        ReportOrder {
            born_ms: self.born_ms,
            sequence: self.sequence,
        }
    }

    /// Whether both stand for the same place and work. Neither changes within
    /// the life of an endpoint, so where they differ, somebody else writes
    /// under its name.
    pub(super) fn is_same_place(&self, other: &Self) -> bool {
        self.pool == other.pool
            && self.address == other.address
            && self.data_center == other.data_center
    }
}

impl EndpointRefresh {
    /// Its place among the reports of its endpoint.
    pub(super) fn order(&self) -> ReportOrder {
        ReportOrder {
            born_ms: self.born_ms,
            sequence: self.sequence,
        }
    }
}

/// Place of a report: by incarnation, then by its sequence within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportOrder {
    born_ms: u64,
    sequence: u64,
}
