use std::convert::Infallible;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use proptest::prelude::*;
use tokio::runtime::Builder;

use super::*;

/// A read buffer of which a piece is one byte.
struct CountedBuffer {
    data: Vec<u8>,
    kept: Arc<AtomicUsize>,
}

impl CountedBuffer {
    fn new(kept: &Arc<AtomicUsize>) -> Self {
        kept.fetch_add(1, Ordering::Relaxed);
        Self {
            data: vec![b'x'; 8_192],
            kept: Arc::clone(kept),
        }
    }
}

impl AsRef<[u8]> for CountedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for CountedBuffer {
    fn drop(&mut self) {
        self.kept.fetch_sub(1, Ordering::Relaxed);
    }
}

fn collect<S>(frames: S, limit: usize) -> Result<Bytes>
where
    S: stream::Stream<Item = std::result::Result<Frame<Bytes>, Infallible>>,
{
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(collect_body(StreamBody::new(frames), limit))
}

/// Guards against memory that grows with the pieces of a body: each kept the read buffer that it came
/// in.
#[test]
fn a_piece_keeps_no_read_buffer() {
    let kept = Arc::<AtomicUsize>::default();
    let mut most = 0;
    let pieces = (0..20_000).map(|_| {
        let buffer = Bytes::from_owner(CountedBuffer::new(&kept));
        most = most.max(kept.load(Ordering::Relaxed));
        Ok(Frame::data(buffer.slice(..1)))
    });
    let body = collect(stream::iter(pieces), 1 << 20);
    assert_eq!(body.expect("a whole body").len(), 20_000);
    assert!(most <= 2, "{most} read buffers at a time");
}

/// Guards against a body that is read beyond its limit since each of its pieces is small.
#[test]
fn small_pieces_exceed_the_limit_of_a_body() {
    let mut pieces = 0;
    let endless = std::iter::repeat_with(|| {
        pieces += 1;
        Ok(Frame::data(Bytes::from_static(b"x")))
    });
    let end = collect(stream::iter(endless), 1_000);
    assert_eq!(end, Err(BodyFailure::TooLarge { limit: 1_000 }));
    assert_eq!(pieces, 1_001);
}

proptest! {
    /// Guards against bytes that are lost or reordered between pieces.
    #[test]
    fn a_body_is_the_same_in_any_pieces(pieces in prop::collection::vec(
        prop::collection::vec(any::<u8>(), 0..50), 0..50,
    )) {
        let whole = pieces.concat();
        let frames = pieces.into_iter().map(|piece| Ok(Frame::data(Bytes::from(piece))));
        prop_assert_eq!(collect(stream::iter(frames), whole.len()), Ok(Bytes::from(whole)));
    }
}
