use std::io;

use super::PeerName;
use super::link_stream::LinkStream;
use crate::generated::link::call_reply::Outcome;
use crate::generated::link::{CallRefusal, CallReply};
use crate::prelude::*;

/// A stream of bytes that a peer has opened and that is not accepted yet. Dropping it refuses it.
#[derive(Debug)]
pub struct InboundStream {
    /// Who opens it, by its certificate.
    pub from: PeerName,
    /// The message ahead of the bytes.
    pub payload: Bytes,
    pub(super) stream: LinkStream,
}

impl InboundStream {
    /// Accepts the stream with an answer; its bytes follow.
    pub async fn accept(self, answer: Bytes) -> io::Result<LinkStream> {
        self.reply(Outcome::Payload(answer)).await
    }

    /// Refuses the stream.
    pub async fn refuse(self, refusal: CallRefusal) {
        use tokio::io::AsyncWriteExt;
        if let Ok(mut stream) = self.reply(Outcome::Refusal(refusal.into())).await {
            // A stream that can't be finished belongs to a connection that is gone.
            let _ = stream.shutdown().await;
        }
    }

    async fn reply(mut self, outcome: Outcome) -> io::Result<LinkStream> {
        let reply = CallReply {
            outcome: Some(outcome),
        };
        self.stream.write_header(&reply).await?;
        Ok(self.stream)
    }
}
