use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use savorywalk::prelude::*;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::silent_endpoint::event;
use super::{StreamEnd, StreamOutcome};
use crate::gateway_fleet::{header, read_body, read_head};

/// Longest wait of a caller for the next event: two seconds, four objectives or eight pauses,
/// whichever is longest, by the users' protocol.
pub(super) const PATIENCE: Duration = Duration::from_millis(2_000);

/// Time that a caller gives a stream; the routes' timeouts are shorter.
const DEADLINE_MS: u64 = 30_000;

/// Events after which a stream counts as begun.
const BEGUN_EVENTS: u64 = 3;

/// Pieces of the stage of a request.
const PIECES: usize = 1;

/// Pause of a caller whose gateway takes no request.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A connection that is used for one stream after the other, until its gateway closes it.
pub(super) struct StreamConnection {
    gateway: usize,
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

/// Callers of a run, and what they saw.
pub(super) struct StreamCallers {
    gateways: Vec<SocketAddr>,
    ended: watch::Receiver<bool>,
    next_request: AtomicUsize,
    /// Streams that have begun.
    pub(super) begun: AtomicUsize,
    outcomes: Mutex<Vec<StreamOutcome>>,
}

impl StreamCallers {
    pub(super) fn new(gateways: Vec<SocketAddr>, ended: watch::Receiver<bool>) -> Self {
        Self {
            gateways,
            ended,
            next_request: AtomicUsize::new(0),
            begun: AtomicUsize::new(0),
            outcomes: Mutex::default(),
        }
    }

    /// A connection to the gateway that comes at `position` when they are taken in turn.
    pub(super) fn connection(&self, position: usize) -> StreamConnection {
        let gateway = position % self.gateways.len();
        StreamConnection {
            gateway,
            address: self.gateways[gateway],
            stream: None,
        }
    }

    /// Sends a stream and records how it ended.
    pub(super) async fn send(&self, connection: &mut StreamConnection, events: u64) -> StreamEnd {
        let outcome = self.call(connection, events).await;
        let end = outcome.end;
        if let Ok(mut outcomes) = self.outcomes.lock() {
            outcomes.push(outcome);
        }
        end
    }

    /// Streams so far, which are forgotten here.
    pub(super) fn take_outcomes(&self) -> Vec<StreamOutcome> {
        let outcomes = self.outcomes.lock().ok();
        let outcomes = outcomes.map(|mut outcomes| std::mem::take(&mut *outcomes));
        outcomes.unwrap_or_default()
    }

    /// Sends one stream after the other, to a gateway for as long as it takes requests, then to the
    /// next.
    pub(super) async fn send_until_ended(&self, caller: usize, events: impl Fn(usize) -> u64) {
        let mut position = caller;
        let mut connection = self.connection(position);
        for number in 0.. {
            if *self.ended.borrow() {
                return;
            }
            match self.send(&mut connection, events(number)).await {
                StreamEnd::Whole => {}
                StreamEnd::Refused => tokio::time::sleep(RETRY_PAUSE).await,
                StreamEnd::Unreached
                | StreamEnd::Unanswered
                | StreamEnd::Broken
                | StreamEnd::Left
                | StreamEnd::Wrong => {
                    position += 1;
                    connection = self.connection(position);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn call(&self, connection: &mut StreamConnection, events: u64) -> StreamOutcome {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let sent = Instant::now();
        let mut outcome = StreamOutcome {
            id: format!("{number:016x}"),
            gateway: connection.gateway,
            sent,
            heard: sent,
            ended: sent,
            events: 0,
            longest_gap: Duration::ZERO,
            end: StreamEnd::Unreached,
        };
        outcome.end = match connection.open().await {
            Some(stream) => {
                self.exchange(connection, stream, events, &mut outcome)
                    .await
            }
            None => StreamEnd::Unreached,
        };
        outcome.ended = Instant::now();
        outcome
    }

    async fn exchange(
        &self,
        connection: &mut StreamConnection,
        mut stream: BufReader<TcpStream>,
        events: u64,
        outcome: &mut StreamOutcome,
    ) -> StreamEnd {
        let id = &outcome.id;
        let body = format!("{events} {id}");
        let request = format!(
            "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: {}\r\nX-Request-Id: {id}\r\n\
             X-Api-Key: key-w\r\nX-Deadline-Remaining: {DEADLINE_MS}\r\nX-Segment-Count: {PIECES}\r\n\
             X-Segment-Key: {id}\r\n\r\n{body}",
            body.len()
        );
        if stream
            .get_mut()
            .write_all(request.as_bytes())
            .await
            .is_err()
        {
            return StreamEnd::Unanswered;
        }
        let lines = match tokio::time::timeout(PATIENCE, read_head(&mut stream)).await {
            Ok(Some(lines)) => lines,
            Ok(None) => return StreamEnd::Unanswered,
            Err(_) => return StreamEnd::Left,
        };
        let is_kept = header(&lines, "connection") != Some("close");
        let is_success = lines[0].split(' ').nth(1) == Some("200");
        let end = match is_success {
            true => self.read_events(&mut stream, events, outcome).await,
            false => match read_body(&mut stream, &lines).await {
                Some(_) => StreamEnd::Refused,
                None => StreamEnd::Broken,
            },
        };
        if is_kept && matches!(end, StreamEnd::Whole | StreamEnd::Refused) {
            connection.stream = Some(stream);
        }
        end
    }

    async fn read_events(
        &self,
        stream: &mut BufReader<TcpStream>,
        events: u64,
        outcome: &mut StreamOutcome,
    ) -> StreamEnd {
        let mut text = String::new();
        loop {
            let deadline = outcome.heard + PATIENCE;
            let chunk = match tokio::time::timeout_at(deadline.into(), read_chunk(stream)).await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return StreamEnd::Broken,
                Err(_) => return StreamEnd::Left,
            };
            if chunk.is_empty() {
                return match text.is_empty() && outcome.events == events {
                    true => StreamEnd::Whole,
                    false => StreamEnd::Wrong,
                };
            }
            text.push_str(&chunk);
            while let Some(end) = text.find("\n\n") {
                let rest = text.split_off(end + 2);
                if text != event(&outcome.id, outcome.events + 1) {
                    return StreamEnd::Wrong;
                }
                text = rest;
                self.record_event(outcome);
            }
        }
    }

    fn record_event(&self, outcome: &mut StreamOutcome) {
        let now = Instant::now();
        if outcome.events > 0 {
            outcome.longest_gap = outcome.longest_gap.max(now - outcome.heard);
        }
        outcome.heard = now;
        outcome.events += 1;
        if outcome.events == BEGUN_EVENTS {
            self.begun.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl StreamConnection {
    /// The kept connection, or a new one.
    async fn open(&mut self) -> Option<BufReader<TcpStream>> {
        if let Some(stream) = self.stream.take() {
            return Some(stream);
        }
        let connecting = tokio::time::timeout(PATIENCE, TcpStream::connect(self.address));
        Some(BufReader::new(connecting.await.ok()?.ok()?))
    }
}

/// Reads a chunk, which is empty at the end; `None` if the connection ends before.
async fn read_chunk(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    stream.read_line(&mut line).await.ok()?;
    let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
    let mut chunk = vec![0; length + 2];
    stream.read_exact(&mut chunk).await.ok()?;
    chunk.truncate(length);
    String::from_utf8(chunk).ok()
}
