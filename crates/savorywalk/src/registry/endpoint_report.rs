use super::{EndpointIncarnation, EndpointRefresh, EndpointReport};

impl EndpointReport {
    /// The incarnation that this report describes.
    pub fn incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation {
            endpoint: self.id.clone(),
            born_ms: self.born_ms,
        }
    }

    /// Position among the reports of all incarnations of the endpoint. A report of a later
    /// incarnation is always newer, whatever the sequence numbers are.
    pub fn order(&self) -> ReportOrder {
        ReportOrder {
            born_ms: self.born_ms,
            sequence: self.sequence,
        }
    }

    /// Whether both reports name the same pool, address and data centre. These never change
    /// within an incarnation, so a difference means that another process uses the same name.
    pub(super) fn is_same_location(&self, other: &Self) -> bool {
        self.pool == other.pool
            && self.address == other.address
            && self.data_center == other.data_center
    }
}

impl EndpointRefresh {
    /// Position among the reports of the endpoint.
    pub(super) fn order(&self) -> ReportOrder {
        ReportOrder {
            born_ms: self.born_ms,
            sequence: self.sequence,
        }
    }
}

/// Order of reports: by incarnation, then by sequence number within the incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportOrder {
    born_ms: u64,
    sequence: u64,
}
