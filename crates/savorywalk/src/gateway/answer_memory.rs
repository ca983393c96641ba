use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use super::call_handler::GatewayBody;
use super::endpoint_call::CallError;
use crate::http_bodies::{BodyHold, BodyMemory, MemoryFull};
use crate::prelude::*;

/// Bytes of answers that an entry holds at a time, over all requests: less than a sixth of the
/// memory of the smallest VM, 256 MB.
const MAX_HELD_BYTES: usize = 40 << 20;

/// Bytes after which a block of an answer is full. Buffers that double, and whole answers that are
/// copied to grow, would take several times what is held.
const BLOCK_BYTES: usize = 64 << 10;

/// Bytes of one answer that is held as a whole.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Bytes that a frame of an answer counts for at least, as frames of a few bytes cost more time
/// than memory.
const MIN_FRAME_COST: usize = 64;

/// A limit on what an endpoint may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum AnswerLimit {
    /// The head, together with interim heads.
    #[error("the head of the answer is too large")]
    Head,
    /// The body of one answer.
    #[error("the answer has more than {bytes} bytes")]
    Answer {
        /// What one answer may have.
        bytes: usize,
    },
    /// The bodies of all answers that the entry holds.
    #[error("the entry holds {held} bytes of answers, too many for {bytes} bytes of this one")]
    Entry {
        /// What the entry holds for all answers.
        held: usize,
        /// What this answer needs.
        bytes: usize,
    },
    /// The bytes of a stream that contain no event.
    #[error("the stream has {bytes} bytes without an event")]
    Event {
        /// Bytes since the last event.
        bytes: usize,
    },
}

impl AnswerLimit {
    const NAMES: [&str; 4] = ["head", "answer", "entry", "event"];

    fn index(self) -> usize {
        match self {
            Self::Head => 0,
            Self::Answer { .. } => 1,
            Self::Entry { .. } => 2,
            Self::Event { .. } => 3,
        }
    }
}

/// Bounds the memory for answers that an entry holds before it passes them on. See
/// docs/design/answer-limits.md.
#[derive(Debug)]
pub(super) struct AnswerMemory {
    bodies: Arc<BodyMemory>,
    exceeded: [AtomicU64; AnswerLimit::NAMES.len()],
}

impl Default for AnswerMemory {
    fn default() -> Self {
        Self {
            bodies: BodyMemory::new(MAX_HELD_BYTES),
            exceeded: Default::default(),
        }
    }
}

/// The memory of one answer; released on drop.
#[derive(Debug)]
pub(super) struct AnswerHold {
    memory: Arc<AnswerMemory>,
    hold: BodyHold,
}

impl AnswerMemory {
    /// Begins to hold an answer.
    pub(super) fn hold(self: &Arc<Self>) -> AnswerHold {
        AnswerHold {
            memory: Arc::clone(self),
            hold: self.bodies.hold(),
        }
    }

    /// Counts an answer whose head exceeded its limit. Bodies count as they are held.
    pub(super) fn record_failure(&self, error: &CallError) {
        if let CallError::TooLarge(limit @ AnswerLimit::Head) = error {
            self.record_exceeded(*limit);
        }
    }

    fn record_exceeded(&self, limit: AnswerLimit) {
        self.exceeded[limit.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// Registers the gauges and the counter of held and oversized answers.
    pub(super) fn register_metrics(self: &Arc<Self>, meter: &Meter) {
        let memory = Arc::clone(self);
        meter
            .u64_observable_gauge("savorywalk_gateway_answer_bytes")
            .with_description("Bytes of answers that are held before they are passed on")
            .with_callback(move |gauge| {
                gauge.observe(memory.bodies.held() as u64, &[]);
            })
            .build();
        let memory = Arc::clone(self);
        meter
            .u64_observable_gauge("savorywalk_gateway_answer_peak_bytes")
            .with_description("Most bytes of answers that were held at a time")
            .with_callback(move |gauge| {
                gauge.observe(memory.bodies.peak() as u64, &[]);
            })
            .build();
        let memory = Arc::clone(self);
        meter
            .u64_observable_counter("savorywalk_gateway_oversized_answers")
            .with_description("Answers that were given up, by the limit that they exceeded")
            .with_callback(move |counter| {
                for (name, count) in AnswerLimit::NAMES.iter().zip(&memory.exceeded) {
                    let limit = KeyValue::new("limit", *name);
                    counter.observe(count.load(Ordering::Relaxed), &[limit]);
                }
            })
            .build();
    }
}

impl AnswerHold {
    /// Sets the number of bytes that the answer holds.
    ///
    /// # Errors
    ///
    /// The limit that it would exceed; it then holds as much as before.
    pub(super) fn resize(&mut self, bytes: usize) -> Result<(), AnswerLimit> {
        if bytes > MAX_ANSWER_BYTES {
            let limit = AnswerLimit::Answer {
                bytes: MAX_ANSWER_BYTES,
            };
            return Err(self.exceed(limit));
        }
        let resized = self.hold.resize(bytes);
        resized.map_err(|MemoryFull { held, bytes, .. }| {
            self.exceed(AnswerLimit::Entry { held, bytes })
        })
    }

    /// Counts that the answer has exceeded a limit.
    pub(super) fn exceed(&self, limit: AnswerLimit) -> AnswerLimit {
        self.memory.record_exceeded(limit);
        limit
    }
}

/// An answer that is read as a whole, with the memory that it needs.
#[derive(Debug)]
pub(super) struct AnswerBuffer {
    /// Full blocks, in order.
    blocks: VecDeque<Bytes>,
    /// The last block.
    open: BytesMut,
    /// What counts for the frames that were read.
    cost: usize,
    hold: AnswerHold,
}

impl AnswerBuffer {
    pub(super) fn new(hold: AnswerHold) -> Self {
        Self {
            blocks: VecDeque::new(),
            open: BytesMut::new(),
            cost: 0,
            hold,
        }
    }

    /// Adds the data of a frame.
    ///
    /// # Errors
    ///
    /// The limit that the answer exceeds.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), AnswerLimit> {
        self.cost += data.len().max(MIN_FRAME_COST);
        self.hold.resize(self.cost)?;
        self.open.extend_from_slice(data);
        if self.open.len() >= BLOCK_BYTES {
            self.blocks
                .push_back(std::mem::take(&mut self.open).freeze());
        }
        Ok(())
    }

    /// The answer in one piece.
    fn into_bytes(mut self) -> Bytes {
        if self.blocks.is_empty() {
            return self.open.freeze();
        }
        self.blocks.push_back(self.open.freeze());
        self.blocks.make_contiguous().concat().into()
    }

    /// The answer as a body, whose memory counts until the caller has got it.
    pub(super) fn into_body(mut self) -> GatewayBody {
        if !self.open.is_empty() {
            self.blocks.push_back(self.open.freeze());
        }
        let body = HeldBody {
            blocks: self.blocks,
            _hold: self.hold,
        };
        body.map_err(|never| match never {}).boxed_unsync()
    }
}

/// Reads the body of an answer to its proven end.
pub(super) async fn read_complete<B>(mut body: B, hold: AnswerHold) -> Result<Bytes, CallError>
where
    B: Body<Data = Bytes, Error: std::fmt::Display> + Unpin,
{
    let mut buffer = AnswerBuffer::new(hold);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallError::Broken(error.to_string()))?;
        // Trailers carry nothing that is used.
        if let Ok(data) = frame.into_data() {
            buffer.push(&data)?;
        }
        // Frames may be ready for as long as the endpoint sends: other tasks have their turn.
        tokio::task::coop::consume_budget().await;
    }
    Ok(buffer.into_bytes())
}

/// The blocks of an answer that the caller has not got yet.
struct HeldBody {
    blocks: VecDeque<Bytes>,
    _hold: AnswerHold,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let block = self.blocks.pop_front();
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let bytes: usize = self.blocks.iter().map(Bytes::len).sum();
        SizeHint::with_exact(bytes as u64)
    }
}

#[cfg(test)]
#[path = "answer_memory_tests.rs"]
mod tests;
