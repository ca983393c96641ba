use std::sync::{Mutex, MutexGuard, PoisonError};

use super::EndpointClient;
use crate::prelude::*;

/// Streams of one stage that engines may still be generating.
///
/// Dropping this cancels the remaining streams, so that engines stop working
/// however the stage ends, also when its caller disconnects.
#[derive(Debug)]
pub(super) struct OpenStreams {
    client: EndpointClient,
    streams: Mutex<Vec<OpenStream>>,
}

#[derive(Debug)]
struct OpenStream {
    attempt: u16,
    address: SocketAddr,
    stream: String,
}

impl OpenStream {
    fn is_same_stream(&self, other: &Self) -> bool {
        self.address == other.address && self.stream == other.stream
    }
}

impl OpenStreams {
    pub(super) fn new(client: &EndpointClient) -> Self {
        Self {
            client: client.clone(),
            streams: Mutex::default(),
        }
    }

    /// Adds the stream of an attempt, as named by its engine. Replaces an earlier
    /// stream of the same attempt.
    pub(super) fn insert(&self, attempt: u16, address: SocketAddr, stream: &str) {
        let mut streams = self.streams();
        streams.retain(|open| open.attempt != attempt);
        streams.push(OpenStream {
            attempt,
            address,
            stream: stream.to_string(),
        });
    }

    /// Removes the stream of an attempt without cancelling it, as another attempt
    /// resumes it.
    pub(super) fn remove(&self, attempt: u16) {
        self.streams().retain(|open| open.attempt != attempt);
    }

    /// Removes the stream of an attempt, which has ended, for all attempts that
    /// read it.
    pub(super) fn finish(&self, attempt: u16) {
        let mut streams = self.streams();
        let index = streams.iter().position(|open| open.attempt == attempt);
        if let Some(finished) = index.map(|index| streams.swap_remove(index)) {
            streams.retain(|open| !open.is_same_stream(&finished));
        }
    }

    /// Cancels the stream of an attempt, unless another attempt reads it as well.
    pub(super) fn cancel(&self, attempt: u16) {
        let mut streams = self.streams();
        let index = streams.iter().position(|open| open.attempt == attempt);
        let Some(cancelled) = index.map(|index| streams.swap_remove(index)) else {
            return;
        };
        if !streams.iter().any(|open| open.is_same_stream(&cancelled)) {
            self.client
                .cancel_stream(cancelled.address, &cancelled.stream);
        }
    }

    fn streams(&self) -> MutexGuard<'_, Vec<OpenStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenStreams {
    fn drop(&mut self) {
        let mut streams = std::mem::take(&mut *self.streams());
        while let Some(open) = streams.pop() {
            streams.retain(|other| !other.is_same_stream(&open));
            self.client.cancel_stream(open.address, &open.stream);
        }
    }
}
