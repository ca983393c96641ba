use std::sync::atomic::{AtomicUsize, Ordering};

use savorywalk::prelude::*;
use tokio::sync::watch;

use super::counted_endpoint::{ENGINE_POOL, EndpointState, REJECTED_PATH, STAGE_POOL};
use crate::gateway_fleet::KeptConnection;

/// Interval between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Pause of a caller whose gateway does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Pieces of the stage of a request.
const PIECES: usize = 2;

/// Paths of the routes: idempotent, with a stage, not idempotent.
const PATHS: [&str; 3] = ["/safe/", "/staged/", "/unsafe/"];

/// Callers of a run, who send until it ends, each over one connection until its gateway is gone.
pub(super) struct RetryCallers {
    pub(super) gateways: Vec<SocketAddr>,
    pub(super) state: Arc<EndpointState>,
    pub(super) ended: watch::Receiver<bool>,
    pub(super) next_request: AtomicUsize,
    pub(super) sent: AtomicUsize,
    pub(super) served: AtomicUsize,
}

impl RetryCallers {
    pub(super) fn new(
        gateways: Vec<SocketAddr>,
        state: Arc<EndpointState>,
        ended: watch::Receiver<bool>,
    ) -> Self {
        Self {
            gateways,
            state,
            ended,
            next_request: AtomicUsize::new(0),
            sent: AtomicUsize::new(0),
            served: AtomicUsize::new(0),
        }
    }

    /// Sends requests of all routes, to one gateway after the other as they end.
    pub(super) async fn send_all_routes(&self, caller: usize) {
        self.send_until_ended(caller, |position| {
            (position, PATHS[(caller + position) % PATHS.len()])
        })
        .await;
    }

    /// Sends requests that engines reject to the first gateway, or requests that they serve to
    /// another one. Half of the callers do the former, so that their retries need more than the
    /// budget.
    pub(super) async fn send_rejected_to_first(&self, caller: usize) {
        let others = self.gateways.len() - 1;
        let (gateway, path) = match caller % 2 {
            0 => (0, REJECTED_PATH),
            _ => (1 + caller / 2 % others, PATHS[0]),
        };
        self.send_until_ended(gateway, |_| (gateway, path)).await;
    }

    /// Sends requests at [`REQUEST_INTERVAL`]; `target` gives the gateway and the path at a position,
    /// which advances with each request and with each connection that is lost.
    async fn send_until_ended(
        &self,
        first: usize,
        target: impl Fn(usize) -> (usize, &'static str),
    ) {
        let mut position = first;
        let mut gateway = first % self.gateways.len();
        let mut connection = KeptConnection::new(self.gateways[gateway]);
        let mut interval = tokio::time::interval(REQUEST_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !*self.ended.borrow() {
            interval.tick().await;
            let (_, path) = target(position);
            position += 1;
            if self.send(&mut connection, path).await.is_none() {
                gateway = target(gateway + 1).0 % self.gateways.len();
                connection = KeptConnection::new(self.gateways[gateway]);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Sends one request; `None` if its connection is lost.
    pub(super) async fn send(&self, connection: &mut KeptConnection, path: &str) -> Option<u16> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let headers = format!(
            "X-Request-Id: {number:016x}\r\nX-Api-Key: key-w\r\nX-Deadline-Remaining: 4000\r\n\
             X-Segment-Count: {PIECES}\r\nX-Segment-Key: {number:x}\r\n"
        );
        let log = &self.state.log;
        log.record_request(ENGINE_POOL, 1);
        if path == PATHS[1] {
            log.record_request(STAGE_POOL, PIECES);
        }
        self.sent.fetch_add(1, Ordering::Relaxed);
        let body = format!("request {number}");
        let answer = connection
            .call(&format!("POST {path}x"), &headers, &body)
            .await?;
        let served = usize::from(answer.status == 200);
        self.served.fetch_add(served, Ordering::Relaxed);
        Some(answer.status)
    }
}
