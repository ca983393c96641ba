use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::connection_state::{BodyArrival, ConnectionState};
use crate::prelude::*;

/// The body of a request, whose progress its connection follows: a body that has stopped midway may
/// lose its connection to others. See docs/design/intake-limits.md.
#[derive(Debug)]
pub struct ClientBody {
    body: Incoming,
    /// None once the body has ended.
    arrival: Option<BodyArrival>,
}

impl ClientBody {
    pub(super) fn new(body: Incoming, state: &Arc<ConnectionState>, now: Instant) -> Self {
        let has_body = !body.is_end_stream();
        let arrival = has_body.then(|| state.begin_body(now));
        Self { body, arrival }
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match (&frame, &self.arrival) {
            (Some(Ok(_)), Some(arrival)) if !self.body.is_end_stream() => {
                arrival.record_progress(Instant::now());
            }
            _ => self.arrival = None,
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
