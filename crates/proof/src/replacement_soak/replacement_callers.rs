use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use savorywalk::prelude::*;
use savorywalk_standin::AnswerPieces;
use tokio::sync::watch;

use super::answer_kind::proper_body;
use super::troubled_endpoint::EndpointState;
use crate::gateway_fleet::KeptConnection;

/// Statuses that promise that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Pause of a caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(60);

/// Kinds of requests, each on a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Idempotent,
    NonIdempotent,
    /// A resumable stream.
    Stream,
}

impl CallKind {
    const ALL: [Self; 3] = [Self::Idempotent, Self::NonIdempotent, Self::Stream];

    fn path(self) -> &'static str {
        match self {
            Self::Idempotent => "/safe/x",
            Self::NonIdempotent => "/unsafe/x",
            Self::Stream => "/stream/x",
        }
    }
}

/// One request and its answer.
#[derive(Clone, Debug)]
struct CallRecord {
    id: String,
    kind: CallKind,
    /// 0 without an answer.
    status: u16,
    /// Whether a success is the answer to this request.
    is_own: bool,
}

/// Callers that use their connections until the process at the other end is gone.
#[derive(Debug)]
pub(crate) struct ReplacementCallers {
    gateways: Vec<SocketAddr>,
    next_id: AtomicU64,
    records: Mutex<Vec<CallRecord>>,
    ended: watch::Receiver<bool>,
}

impl ReplacementCallers {
    pub(crate) fn new(gateways: Vec<SocketAddr>, ended: watch::Receiver<bool>) -> Self {
        Self {
            gateways,
            next_id: AtomicU64::new(1),
            records: Mutex::default(),
            ended,
        }
    }

    /// Sends requests over one connection until the run ends.
    pub(crate) async fn run(self: Arc<Self>, caller: usize) {
        let mut connection = self.connection(caller);
        let mut number = caller;
        while !*self.ended.borrow() {
            number += 1;
            let kind = CallKind::ALL[number % CallKind::ALL.len()];
            let has_pieces = number.is_multiple_of(2);
            self.send(&mut connection, kind, has_pieces).await;
            tokio::time::sleep(CALL_PAUSE).await;
        }
    }

    pub(crate) fn connection(&self, caller: usize) -> KeptConnection {
        KeptConnection::new(self.gateways[caller % self.gateways.len()])
    }

    /// Sends a request, with its body in chunks of one byte if `has_pieces`; returns its status, 0
    /// without a whole answer.
    pub(crate) async fn send(
        &self,
        connection: &mut KeptConnection,
        kind: CallKind,
        has_pieces: bool,
    ) -> u16 {
        let id = format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let headers =
            format!("X-Request-Id: {id}\r\nX-Api-Key: key-w\r\nX-Deadline-Remaining: 3000\r\n");
        let line = format!("POST {}", kind.path());
        let answer = match has_pieces {
            true => {
                let pieces = AnswerPieces::of(1);
                let calling = connection.call_in_pieces(&line, &headers, "request", pieces);
                calling.await
            }
            false => connection.call(&line, &headers, "request").await,
        };
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let expected = proper_body(&id, kind == CallKind::Stream, 0);
        let is_own = answer.is_some_and(|answer| answer.body == expected);
        let record = CallRecord {
            id,
            kind,
            status,
            is_own,
        };
        self.records().push(record);
        status
    }

    /// Requests by status.
    pub(crate) fn statuses(&self) -> BTreeMap<u16, usize> {
        let mut statuses = BTreeMap::new();
        for record in self.records().iter() {
            *statuses.entry(record.status).or_default() += 1;
        }
        statuses
    }

    /// What the answers and the endpoints' records show against a promise.
    pub(crate) fn breaches(&self, endpoints: &EndpointState) -> Vec<String> {
        let records = self.records();
        let breaches = records.iter().filter_map(|record| {
            let runs = endpoints.runs(&record.id);
            let id = &record.id;
            let may_run_once = record.kind == CallKind::NonIdempotent;
            if NOT_RUN_STATUSES.contains(&record.status) && runs > 0 && may_run_once {
                return Some(format!("request {id} got {} and has run", record.status));
            }
            if may_run_once && runs > 1 {
                return Some(format!("request {id} ran {runs} times"));
            }
            let is_other = record.status == 200 && !record.is_own;
            is_other.then(|| format!("request {id} got another answer"))
        });
        breaches.collect()
    }

    fn records(&self) -> std::sync::MutexGuard<'_, Vec<CallRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
