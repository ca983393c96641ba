use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Bytes, BytesMut};
use hyper::header::HeaderValue;
use tokio::sync::Notify;

use crate::engine_batch::JobId;

const END_EVENT: &[u8] = b"data: [DONE]\n\n";

/// One completion as it is made; any number of readers follow it, each from
/// the event that it asks for.
#[derive(Debug)]
pub(crate) struct EngineStream {
    pub(crate) job: JobId,
    /// Attempt that asked for it, echoed to readers that name none.
    pub(crate) attempt: Option<HeaderValue>,
    progress: Mutex<StreamProgress>,
    changed: Notify,
    readers: AtomicU32,
}

#[derive(Debug)]
struct StreamProgress {
    /// All events, written before the first of them is due.
    events: Vec<Bytes>,
    made: usize,
    cancelled: bool,
}

/// A reader's place in a stream.
#[derive(Debug)]
pub(crate) struct StreamReader {
    stream: Arc<EngineStream>,
    position: usize,
    ended: bool,
}

/// What a reader finds next.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StreamPiece {
    /// Events that were made since the last piece.
    Events(Vec<Bytes>),
    /// All events were read.
    End,
    /// The stream was cancelled.
    Cancelled,
}

impl EngineStream {
    pub(crate) fn new(job: JobId, attempt: Option<HeaderValue>, events: Vec<Bytes>) -> Self {
        Self {
            job,
            attempt,
            progress: Mutex::new(StreamProgress {
                events,
                made: 0,
                cancelled: false,
            }),
            changed: Notify::new(),
            readers: AtomicU32::new(0),
        }
    }

    /// One more event is made; tells whether it was the last.
    pub(crate) fn advance(&self) -> bool {
        let finished = {
            let mut progress = self.progress();
            progress.made += 1;
            progress.made == progress.events.len()
        };
        self.changed.notify_waiters();
        finished
    }

    pub(crate) fn cancel(&self) {
        self.progress().cancelled = true;
        self.changed.notify_waiters();
    }

    /// Whether nothing more will be made.
    pub(crate) fn is_over(&self) -> bool {
        let progress = self.progress();
        progress.cancelled || progress.made == progress.events.len()
    }

    /// Events that it has when it is whole.
    pub(crate) fn length(&self) -> usize {
        self.progress().events.len()
    }

    pub(crate) fn readers(&self) -> u32 {
        self.readers.load(Ordering::SeqCst)
    }

    /// A reader that starts at event `offset`.
    pub(crate) fn read_from(self: &Arc<Self>, offset: usize) -> StreamReader {
        self.readers.fetch_add(1, Ordering::SeqCst);
        StreamReader {
            stream: Arc::clone(self),
            position: offset,
            ended: false,
        }
    }

    fn progress(&self) -> MutexGuard<'_, StreamProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn piece(&self, position: usize) -> Option<StreamPiece> {
        let progress = self.progress();
        if position < progress.made {
            let events = progress.events[position..progress.made].to_vec();
            return Some(StreamPiece::Events(events));
        }
        if progress.made == progress.events.len() {
            return Some(StreamPiece::End);
        }
        progress.cancelled.then_some(StreamPiece::Cancelled)
    }
}

impl StreamReader {
    /// Waits for the next piece; `None` after the end.
    pub(crate) async fn next(&mut self) -> Option<StreamPiece> {
        if self.ended {
            return None;
        }
        loop {
            let changed = self.stream.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(piece) = self.stream.piece(self.position) {
                match &piece {
                    StreamPiece::Events(events) => self.position += events.len(),
                    StreamPiece::End | StreamPiece::Cancelled => self.ended = true,
                }
                return Some(piece);
            }
            changed.await;
        }
    }

    pub(crate) fn stream(&self) -> &Arc<EngineStream> {
        &self.stream
    }
}

impl Drop for StreamReader {
    fn drop(&mut self) {
        self.stream.readers.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The event that ends a stream.
pub(crate) fn end_event() -> Bytes {
    Bytes::from_static(END_EVENT)
}

/// Joins events into one piece of a body, each as often as `copies` says.
pub(crate) fn joined(events: &[Bytes], copies: usize) -> Bytes {
    if let ([event], 1) = (events, copies) {
        return event.clone();
    }
    let mut bytes = BytesMut::new();
    for event in events {
        for _ in 0..copies {
            bytes.extend_from_slice(event);
        }
    }
    bytes.freeze()
}
