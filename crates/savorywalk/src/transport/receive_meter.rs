use super::LinkChannel;
use super::link_limits::RECEIVE_BURST_SECONDS;
use super::token_bucket::TokenBucket;
use crate::prelude::*;

/// What one peer has sent lately, by channel; a peer that sends more than its
/// limit is refused however many connections it opens.
#[derive(Clone, Debug)]
pub(super) struct ReceiveMeter {
    messages: [TokenBucket; LinkChannel::ALL.len()],
    bytes: [TokenBucket; LinkChannel::ALL.len()],
}

impl ReceiveMeter {
    /// A meter for a peer that has sent nothing yet.
    pub(super) fn new(now: Instant) -> Self {
        let bucket = |rate: f64| TokenBucket::new(now, rate, rate * RECEIVE_BURST_SECONDS);
        Self {
            messages: LinkChannel::ALL
                .map(|channel| bucket(channel.receive_limit().messages_per_second)),
            bytes: LinkChannel::ALL.map(|channel| bucket(channel.receive_limit().bytes_per_second)),
        }
    }

    /// Whether one more message of `bytes` is within the peer's limit.
    pub(super) fn admit(&mut self, now: Instant, channel: LinkChannel, bytes: usize) -> bool {
        let index = channel.index();
        let message = self.messages[index].take(now, 1.0, 0.0);
        let size = self.bytes[index].take(now, bytes as f64, 0.0);
        message.is_ok() && size.is_ok()
    }
}
