use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::connection_state::ConnectionState;
use crate::prelude::*;

/// The body of a request, whose progress its connection follows: a body that has stopped midway may
/// lose its connection to others. See docs/design/intake-limits.md.
#[derive(Debug)]
pub struct ClientBody {
    body: Incoming,
    state: Arc<ConnectionState>,
}

impl ClientBody {
    pub(super) fn new(body: Incoming, state: Arc<ConnectionState>, now: Instant) -> Self {
        if !body.is_end_stream() {
            state.record_body_progress(now);
        }
        Self { body, state }
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
        match &frame {
            Some(Ok(_)) if !self.body.is_end_stream() => {
                self.state.record_body_progress(Instant::now());
            }
            Some(_) | None => self.state.end_body(),
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

impl Drop for ClientBody {
    fn drop(&mut self) {
        self.state.end_body();
    }
}
