use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use savorywalk::prelude::*;
use tokio::sync::watch;

/// What is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SilenceKind {
    /// All calls, while connections are accepted and announcements go on.
    Calls,
    /// The process as if it were suspended: announcements pause, too.
    Process,
    /// The path to it: connections stay open and new ones get no reply.
    Path,
}

/// A time in which an endpoint sends nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Silence {
    pub(super) kind: SilenceKind,
    pub(super) began: Instant,
    /// `None` if the endpoint is silent for good.
    pub(super) ends: Option<Instant>,
}

impl Silence {
    /// Whether the silence is not over.
    fn lasts(&self, now: Instant) -> bool {
        self.ends.is_none_or(|ends| now < ends)
    }
}

/// Faults of one endpoint.
#[derive(Debug)]
pub(super) struct EndpointSwitch {
    silence: watch::Sender<Option<Silence>>,
    /// Pause of the next stream that sends an event, and of no other.
    preemption: Mutex<Option<Duration>>,
    /// Whether it refuses new requests without running them.
    refuses: AtomicBool,
}

impl Default for EndpointSwitch {
    fn default() -> Self {
        Self {
            silence: watch::Sender::new(None),
            preemption: Mutex::default(),
            refuses: AtomicBool::new(false),
        }
    }
}

impl EndpointSwitch {
    /// Makes the endpoint silent for `time`, for good without one; `None` if it is silent already.
    pub(super) fn fall_silent(&self, kind: SilenceKind, time: Option<Duration>) -> Option<Silence> {
        if self.silence().is_some() {
            return None;
        }
        let began = Instant::now();
        let silence = Silence {
            kind,
            began,
            ends: time.map(|time| began + time),
        };
        self.silence.send_replace(Some(silence));
        Some(silence)
    }

    /// Ends a silence.
    pub(super) fn go_on(&self) {
        self.silence.send_replace(None);
    }

    /// Makes one stream pause for `time`.
    pub(super) fn preempt(&self, time: Duration) {
        if let Ok(mut preemption) = self.preemption.lock() {
            *preemption = Some(time);
        }
    }

    /// The pause of the stream that asks, if it is the one that is preempted.
    pub(super) fn take_preemption(&self) -> Option<Duration> {
        self.preemption.lock().ok()?.take()
    }

    pub(super) fn set_refuses(&self, refuses: bool) {
        self.refuses.store(refuses, Ordering::Relaxed);
    }

    pub(super) fn refuses(&self) -> bool {
        self.refuses.load(Ordering::Relaxed)
    }

    /// The silence that lasts, if there is one.
    fn silence(&self) -> Option<Silence> {
        let silence = *self.silence.borrow();
        silence.filter(|silence| silence.lasts(Instant::now()))
    }

    /// Waits until no silence lasts that `matters`.
    pub(super) async fn wait_until_heard(&self, matters: impl Fn(SilenceKind) -> bool) {
        let mut changes = self.silence.subscribe();
        loop {
            let silence = *changes.borrow_and_update();
            let silence = silence.filter(|silence| matters(silence.kind));
            let Some(silence) = silence.filter(|silence| silence.lasts(Instant::now())) else {
                return;
            };
            let end = async {
                match silence.ends {
                    Some(ends) => tokio::time::sleep_until(ends.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = end => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Waits until the endpoint's silences are ended from now on.
    pub(super) async fn wait_to_go_on(&self) {
        let mut changes = self.silence.subscribe();
        // The sender lives as long as this switch.
        while changes.changed().await.is_ok() {
            if changes.borrow_and_update().is_none() {
                return;
            }
        }
    }

    /// Waits until the path to the endpoint is lost.
    pub(super) async fn wait_for_lost_path(&self) {
        let mut changes = self.silence.subscribe();
        let is_lost = |silence: &Option<Silence>| {
            silence.is_some_and(|silence| silence.kind == SilenceKind::Path)
        };
        // The sender lives as long as this switch.
        let _ = changes.wait_for(is_lost).await;
    }
}
