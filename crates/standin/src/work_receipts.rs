use std::fmt;
use std::sync::OnceLock;

/// Called with the body of each request that a stand-in starts to work on.
pub type ReceiptObserver = Box<dyn Fn(&[u8]) + Send + Sync>;

/// Tells one observer of the work that a stand-in takes, refusals left out.
#[derive(Default)]
pub(crate) struct WorkReceipts {
    observer: OnceLock<ReceiptObserver>,
}

impl fmt::Debug for WorkReceipts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("WorkReceipts")
            .finish_non_exhaustive()
    }
}

impl WorkReceipts {
    /// Sets the observer; tells whether there was none before.
    pub(crate) fn observe(&self, observer: ReceiptObserver) -> bool {
        self.observer.set(observer).is_ok()
    }

    /// Tells the observer of a request whose work starts.
    pub(crate) fn tell(&self, body: &[u8]) {
        if let Some(observer) = self.observer.get() {
            observer(body);
        }
    }
}
