use std::sync::atomic::{AtomicUsize, Ordering};

use savorywalk::prelude::*;
use tokio::sync::watch;

use super::prompt_engine::CRASHING_PART;
use crate::gateway_fleet::{CallAnswer, KeptConnection};

/// Pause of a caller after each request with the crashing part.
const CRASHING_PAUSE: Duration = Duration::from_millis(40);

/// Pause of a caller whose gateway does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Callers of a run, who send until it ends.
pub(super) struct SoakCallers {
    gateways: Vec<SocketAddr>,
    ended: watch::Receiver<bool>,
    requests: AtomicUsize,
    /// Sound requests that were served, and those refused because of a quarantine.
    pub(super) served: AtomicUsize,
    pub(super) blamed: AtomicUsize,
}

impl SoakCallers {
    pub(super) fn new(gateways: Vec<SocketAddr>, ended: watch::Receiver<bool>) -> Self {
        Self {
            gateways,
            ended,
            requests: AtomicUsize::new(0),
            served: AtomicUsize::new(0),
            blamed: AtomicUsize::new(0),
        }
    }

    /// Address of the gateway that comes at `position` when they are taken in turn.
    pub(super) fn gateway(&self, position: usize) -> SocketAddr {
        self.gateways[position % self.gateways.len()]
    }

    /// Sends a new request whose prompt has `shared` before its own part.
    pub(super) async fn send(
        &self,
        connection: &mut KeptConnection,
        shared: &str,
    ) -> Option<CallAnswer> {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let own = 0x0f00_0000 + number;
        let headers = format!(
            "X-Request-Id: {number:016x}\r\nX-Api-Key: key-w\r\nX-Deadline-Remaining: 15000\r\n\
             X-Prompt-Prefix: aa:400,{shared}:400,{own:x}:200\r\n"
        );
        let body = format!("request {number}");
        connection.call("POST /safe/x", &headers, &body).await
    }

    /// Sends sound requests over one connection until its gateway is gone, then at the next.
    pub(super) async fn send_sound(&self, caller: usize) {
        let shared = format!("{:x}", 0xb0 + caller % 3);
        for position in caller.. {
            let mut connection = KeptConnection::new(self.gateway(position));
            while let Some(answer) = self.send(&mut connection, &shared).await {
                let is_blamed = answer.body.contains("quarantined");
                let count = usize::from(answer.status == 200);
                self.served.fetch_add(count, Ordering::Relaxed);
                let count = usize::from(answer.status == 503 && is_blamed);
                self.blamed.fetch_add(count, Ordering::Relaxed);
                if *self.ended.borrow() {
                    return;
                }
            }
            if *self.ended.borrow() {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Sends requests with the crashing part to one gateway after the other.
    pub(super) async fn send_crashing(&self, caller: usize) {
        for position in caller.. {
            if *self.ended.borrow() {
                return;
            }
            let mut connection = KeptConnection::new(self.gateway(position));
            self.send(&mut connection, CRASHING_PART).await;
            tokio::time::sleep(CRASHING_PAUSE).await;
        }
    }
}
