use std::sync::{Mutex, PoisonError};

use tokio::time::Instant;

use crate::token_bucket::TokenBucket;

/// Fetches go in pieces, so that those who fetch at once share the rate.
const PIECE_BYTES: u64 = 1 << 20;

/// The rate-limited store from which engines load models.
#[derive(Debug)]
pub struct WeightStore {
    bucket: Mutex<TokenBucket>,
}

impl WeightStore {
    /// A store that gives `bytes_per_second` to all engines together.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bucket: Mutex::new(TokenBucket::new(
                Instant::now().into_std(),
                bytes_per_second.max(1),
                PIECE_BYTES,
            )),
        }
    }

    /// Waits as long as a fetch of `bytes` takes beside the other fetches.
    pub async fn fetch(&self, bytes: u64) {
        let mut left = bytes;
        while left > 0 {
            let piece = left.min(PIECE_BYTES);
            let wait = {
                let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
                bucket.take(Instant::now().into_std(), piece)
            };
            tokio::time::sleep(wait).await;
            left -= piece;
        }
    }
}
