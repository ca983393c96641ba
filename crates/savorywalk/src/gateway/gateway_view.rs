use super::{EndpointRoster, RouteTable};
use crate::prelude::*;
use crate::registry::Confirmation;
use crate::transport::PeerName;

/// What is in force at this entry: an immutable view for the request path.
#[derive(Clone, Debug, Default)]
pub(super) struct GatewayView {
    /// The document in force; `None` before the first.
    pub(super) table: Option<Arc<RouteTable>>,
    /// Endpoints that may get new work.
    pub(super) roster: Arc<EndpointRoster>,
    /// Entries that share budgets and pools with this one, itself included.
    pub(super) entries: Vec<PeerName>,
    /// How much news from control it holds.
    pub(super) news: u64,
}

/// What a request is decided by, and how old that is.
#[derive(Clone, Debug)]
pub(super) struct ViewKnowledge {
    pub(super) view: Arc<GatewayView>,
    /// Time since nothing newer was committed; `None` when nobody has said so,
    /// or when it was said of a newer document.
    pub(super) age: Option<Duration>,
}

impl GatewayView {
    /// Number of the document in force; 0 before the first.
    pub(super) fn document(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.number())
    }
}

impl ViewKnowledge {
    /// A view with what was confirmed `age` ago. A confirmation counts for the
    /// document that it came with and for newer ones: one that can't be read, or
    /// is not in force yet, must not make the one before it look fresh.
    pub(super) fn new(view: Arc<GatewayView>, confirmed: Option<(Confirmation, Duration)>) -> Self {
        let covers = |(confirmation, _): &(Confirmation, Duration)| {
            view.document() >= confirmation.document_number
        };
        let age = confirmed.filter(covers).map(|(_, age)| age);
        Self { view, age }
    }

    /// Whether it is younger than `most`.
    pub(super) fn is_fresh(&self, most: Duration) -> bool {
        self.age.is_some_and(|age| age < most)
    }
}
