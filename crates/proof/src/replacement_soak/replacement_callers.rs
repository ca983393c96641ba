use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use savorywalk::prelude::*;
use tokio::sync::watch;

use super::troubled_endpoint::EndpointState;
use crate::gateway_fleet::KeptConnection;

/// Statuses that promise that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Pause of a caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(60);

/// One request and its answer.
#[derive(Clone, Debug)]
struct CallRecord {
    id: String,
    is_idempotent: bool,
    /// 0 without an answer.
    status: u16,
    /// Whether a success is the answer to this request.
    is_own: bool,
}

/// Callers that use their connections until the process at the other end is gone.
#[derive(Debug)]
pub(super) struct ReplacementCallers {
    gateways: Vec<SocketAddr>,
    next_id: AtomicU64,
    records: Mutex<Vec<CallRecord>>,
    ended: watch::Receiver<bool>,
}

impl ReplacementCallers {
    pub(super) fn new(gateways: Vec<SocketAddr>, ended: watch::Receiver<bool>) -> Self {
        Self {
            gateways,
            next_id: AtomicU64::new(1),
            records: Mutex::default(),
            ended,
        }
    }

    /// Sends requests over one connection until the run ends.
    pub(super) async fn run(self: Arc<Self>, caller: usize) {
        let mut connection = self.connection(caller);
        let mut number = caller;
        while !*self.ended.borrow() {
            number += 1;
            self.send(&mut connection, number.is_multiple_of(2)).await;
            tokio::time::sleep(CALL_PAUSE).await;
        }
    }

    pub(super) fn connection(&self, caller: usize) -> KeptConnection {
        KeptConnection::new(self.gateways[caller % self.gateways.len()])
    }

    /// Sends a request; returns its status, 0 without an answer.
    pub(super) async fn send(&self, connection: &mut KeptConnection, is_idempotent: bool) -> u16 {
        let id = format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let path = match is_idempotent {
            true => "safe",
            false => "unsafe",
        };
        let headers =
            format!("X-Request-Id: {id}\r\nX-Api-Key: key-w\r\nX-Deadline-Remaining: 3000\r\n");
        let line = format!("POST /{path}/x");
        let answer = connection.call(&line, &headers, "request").await;
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let is_own = answer.is_some_and(|answer| answer.body == id);
        let record = CallRecord {
            id,
            is_idempotent,
            status,
            is_own,
        };
        self.records().push(record);
        status
    }

    /// Requests by status.
    pub(super) fn statuses(&self) -> BTreeMap<u16, usize> {
        let mut statuses = BTreeMap::new();
        for record in self.records().iter() {
            *statuses.entry(record.status).or_default() += 1;
        }
        statuses
    }

    /// What the answers and the endpoints' records show against a promise.
    pub(super) fn breaches(&self, endpoints: &EndpointState) -> Vec<String> {
        let records = self.records();
        let breaches = records.iter().filter_map(|record| {
            let runs = endpoints.runs(&record.id);
            let id = &record.id;
            if NOT_RUN_STATUSES.contains(&record.status) && runs > 0 && !record.is_idempotent {
                return Some(format!("request {id} got {} and has run", record.status));
            }
            if !record.is_idempotent && runs > 1 {
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
