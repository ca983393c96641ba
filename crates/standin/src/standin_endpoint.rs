use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use savorywalk::directory::{EndpointLoad, EndpointState};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::model_engine::ModelEngine;
use crate::order_desk::OrderDesk;
use crate::silent_connection::ConnectionSilencer;
use crate::work_queue::WorkQueue;
use crate::work_receipts::WorkReceipts;
use crate::{EndpointCounts, FaultSwitch, RunLedger, StandinKind, StandinOptions};

/// How often a leaver looks whether its work is done.
const LEAVE_POLL: Duration = Duration::from_millis(5);

/// What the connections of one stand-in share.
#[derive(Debug)]
pub(crate) struct StandinEndpoint {
    pub(crate) options: StandinOptions,
    pub(crate) counts: EndpointCounts,
    pub(crate) faults: FaultSwitch,
    pub(crate) runs: RunLedger,
    pub(crate) receipts: WorkReceipts,
    pub(crate) queue: WorkQueue,
    pub(crate) engine: ModelEngine,
    pub(crate) silencer: Arc<ConnectionSilencer>,
    /// Cancelled when the stand-in dies.
    pub(crate) death: CancellationToken,
    /// Tells the announcer that there is something to announce at once.
    pub(crate) change_notify: Notify,
    desk: Mutex<OrderDesk>,
    in_progress: AtomicU64,
    leaving: AtomicBool,
    closed: AtomicBool,
}

/// Counts one request in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct ProgressGuard {
    endpoint: Arc<StandinEndpoint>,
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.endpoint.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

impl StandinEndpoint {
    pub(crate) fn new(options: StandinOptions) -> Self {
        Self {
            counts: EndpointCounts::default(),
            faults: FaultSwitch::default(),
            runs: RunLedger::default(),
            receipts: WorkReceipts::default(),
            queue: WorkQueue::new(options.slots, options.queue_limit),
            engine: ModelEngine::new(&options),
            silencer: Arc::default(),
            death: CancellationToken::new(),
            change_notify: Notify::new(),
            desk: Mutex::new(OrderDesk::new(&options.model, options.ignores_fencing)),
            in_progress: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            options,
        }
    }

    pub(crate) fn enter(self: &Arc<Self>) -> ProgressGuard {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        ProgressGuard {
            endpoint: Arc::clone(self),
        }
    }

    pub(crate) fn desk(&self) -> MutexGuard<'_, OrderDesk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn load(&self) -> EndpointLoad {
        if self.options.kind == StandinKind::Engine {
            let (running, queued) = self.engine.load();
            return EndpointLoad {
                running: running as u32,
                queued: queued as u32,
            };
        }
        EndpointLoad {
            running: self.queue.running(),
            queued: self.queue.queued(),
        }
    }

    pub(crate) fn state(&self) -> EndpointState {
        if self.leaving.load(Ordering::SeqCst) {
            EndpointState::Leaving
        } else {
            EndpointState::Serving
        }
    }

    /// Whether it refuses new work, as a leaver does after its notice.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    pub(crate) fn die(&self) {
        self.death.cancel();
    }

    /// Announces that it leaves, takes work until its notice is over, finishes
    /// what it has, then goes.
    pub(crate) async fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.change_notify.notify_one();
        tokio::time::sleep(self.options.leave_notice).await;
        self.closed.store(true, Ordering::SeqCst);
        while self.in_progress.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(LEAVE_POLL).await;
        }
        self.die();
    }
}
