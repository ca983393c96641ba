use super::answer_memory::{AnswerBuffer, AnswerHold};
use super::endpoint_call::CallError;
use super::forward_attempt::OpenAnswer;
use super::stalled_calls::{StallEnd, StallRecord};
use crate::prelude::*;

/// An answer whose body is read to its end before the caller gets it.
#[derive(Debug)]
pub(super) struct AnswerBody {
    pub(super) open: OpenAnswer,
    buffer: AnswerBuffer,
    /// When its head arrived.
    begun: Instant,
    /// When the endpoint last sent something.
    heard: Instant,
    /// Set while the body is stalled.
    stall: Option<StallRecord>,
}

/// Bodies of answers to one request. One that is late stays open beside its replacement, since the
/// head of an answer says nothing about when its body is complete.
#[derive(Debug)]
pub(super) struct AnswerBodies(Vec<AnswerBody>);

impl AnswerBody {
    fn new(open: OpenAnswer, hold: AnswerHold) -> Self {
        let begun = Instant::now();
        Self {
            open,
            buffer: AnswerBuffer::new(hold),
            begun,
            heard: begun,
            stall: None,
        }
    }

    /// Reads the body to its proven end. Cancelling the read loses nothing.
    async fn read(&mut self) -> Result<(), CallError> {
        while let Some(frame) = self.open.frame().await {
            let frame = frame.map_err(|error| CallError::Broken(error.to_string()))?;
            self.record_heard();
            // Trailers carry nothing that callers get.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.buffer.push(&data)?;
            // Frames may be ready for as long as the endpoint sends: other tasks have their turn, and
            // the deadline is looked at.
            tokio::task::coop::consume_budget().await;
        }
        Ok(())
    }

    fn record_heard(&mut self) {
        self.heard = Instant::now();
        self.open.progress.record_heard();
        self.finish_stall(StallEnd::WentOn);
    }

    /// Records how the stall of the body ended, if it had stalled.
    pub(super) fn finish_stall(&mut self, end: StallEnd) {
        if let Some(stall) = self.stall.take() {
            stall.finish(end);
        }
    }

    /// Splits the answer into its head and what was read of its body.
    pub(super) fn into_parts(self) -> (OpenAnswer, AnswerBuffer) {
        (self.open, self.buffer)
    }
}

impl AnswerBodies {
    pub(super) fn new(open: OpenAnswer, hold: AnswerHold) -> Self {
        Self(vec![AnswerBody::new(open, hold)])
    }

    pub(super) fn push(&mut self, open: OpenAnswer, hold: AnswerHold) {
        self.0.push(AnswerBody::new(open, hold));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes all bodies out.
    pub(super) fn take(&mut self) -> Vec<AnswerBody> {
        std::mem::take(&mut self.0)
    }

    /// When the head of the newest answer arrived; `None` without bodies.
    pub(super) fn begun(&self) -> Option<Instant> {
        self.0.iter().map(|body| body.begun).max()
    }

    /// Records the stalls of bodies that have been silent for `limit`, unless it was done before.
    /// `begin` records one of an endpoint that has been silent since a time.
    pub(super) fn begin_stalls(
        &mut self,
        limit: Duration,
        begin: impl Fn(&str, Instant) -> StallRecord,
    ) {
        for body in &mut self.0 {
            let (endpoint, since) = (&body.open.endpoint, body.heard);
            if since.elapsed() >= limit {
                body.stall.get_or_insert_with(|| begin(endpoint, since));
            }
        }
    }

    /// Waits for the end of the next body, and takes it out. Never ends without bodies.
    pub(super) async fn next(&mut self) -> (AnswerBody, Result<(), CallError>) {
        if self.is_empty() {
            return std::future::pending().await;
        }
        let reads = self.0.iter_mut().map(|body| Box::pin(body.read()));
        let (result, index, others) = futures::future::select_all(reads).await;
        drop(others);
        (self.0.swap_remove(index), result)
    }
}
