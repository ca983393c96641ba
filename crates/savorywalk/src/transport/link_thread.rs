use std::io;
use std::thread;

use tokio::runtime::{Builder, EnterGuard, Handle};
use tokio::sync::oneshot;

use crate::prelude::*;

/// Name of the thread, as the system's tools show it.
const THREAD_NAME: &str = "links";

/// A thread with a runtime of its own, for links of a daemon that must keep up while
/// requests hold the processor.
///
/// On one runtime each step of a message waits behind every task that is ready, and
/// under overload thousands are: at entries that coordinated others' requests a change
/// was in force 9 s after it had been acknowledged. Between threads the system shares
/// the processor; see docs/incidents/late-in-force.md.
#[derive(Debug)]
pub struct LinkThread {
    handle: Handle,
    _running: oneshot::Sender<()>,
}

impl LinkThread {
    /// Starts the thread; it ends when this is dropped.
    ///
    /// # Errors
    ///
    /// When the system gives no thread.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (running, ended) = oneshot::channel::<()>();
        let thread = thread::Builder::new().name(THREAD_NAME.into());
        thread.spawn(move || {
            // Ends with an error when the sender is dropped, which is the only end.
            let _ = runtime.block_on(ended);
            log_event!(debug, "link_thread_ended");
        })?;
        Ok(Self {
            handle,
            _running: running,
        })
    }

    /// Has what is started while the guard lives run on this thread.
    pub fn enter(&self) -> EnterGuard<'_> {
        self.handle.enter()
    }
}
