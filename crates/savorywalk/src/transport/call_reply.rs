use tokio::sync::oneshot;

use crate::generated::link::CallRefusal;
use crate::prelude::*;

/// Takes the answer to one call; dropped without one, the caller is refused.
#[derive(Debug)]
pub struct CallReplier {
    sender: oneshot::Sender<Result<Bytes, CallRefusal>>,
}

impl CallReplier {
    pub(super) fn channel() -> (Self, oneshot::Receiver<Result<Bytes, CallRefusal>>) {
        let (sender, receiver) = oneshot::channel();
        (Self { sender }, receiver)
    }

    /// Answers; false when the caller has left.
    pub fn answer(self, payload: Bytes) -> bool {
        self.sender.send(Ok(payload)).is_ok()
    }

    /// Refuses; false when the caller has left.
    pub fn refuse(self, refusal: CallRefusal) -> bool {
        self.sender.send(Err(refusal)).is_ok()
    }

    /// Waits until the caller has left.
    pub async fn abandoned(&mut self) {
        self.sender.closed().await;
    }

    /// Whether the caller has left.
    pub fn is_abandoned(&self) -> bool {
        self.sender.is_closed()
    }
}
