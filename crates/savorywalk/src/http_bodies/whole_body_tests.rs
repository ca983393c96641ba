use std::convert::Infallible;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use proptest::prelude::*;
use tokio::runtime::Builder;

use super::super::BodyMemory;
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
    collect_beside(frames, limit, BodyHold::unbounded())
}

fn collect_beside<S>(frames: S, limit: usize, hold: BodyHold) -> Result<Bytes>
where
    S: stream::Stream<Item = std::result::Result<Frame<Bytes>, Infallible>>,
{
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_time().build().expect("a runtime");
    runtime.block_on(collect_body(StreamBody::new(frames), limit, hold))
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

/// Guards against a body that is kept although it does not fit beside others, or whose room is lost.
#[test]
fn a_body_holds_its_size_until_its_last_copy_is_dropped() {
    let memory = BodyMemory::new(10_000);
    let frames =
        || stream::iter((0..40).map(|_| Ok(Frame::data(Bytes::from_static(&[b'x'; 100])))));
    let body = collect_beside(frames(), 1 << 20, memory.hold()).expect("room");
    let copy = body.clone();
    assert_eq!(memory.held(), 4_000);
    let refused = collect_beside(frames(), 1 << 20, memory.hold());
    assert!(
        matches!(refused, Err(BodyFailure::MemoryFull(_))),
        "{refused:?}"
    );
    assert_eq!(memory.held(), 4_000);
    drop(body);
    assert_eq!(memory.held(), 4_000);
    drop(copy);
    assert_eq!(memory.held(), 0);
}

/// Guards against a body that is read although its announced length is over the limit or the room.
#[test]
fn an_announced_length_is_refused_before_it_is_read() {
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_time().build().expect("a runtime");
    let memory = BodyMemory::new(1_000);
    let body = || http_body_util::Full::new(Bytes::from_static(&[b'x'; 800]));
    let over_limit = runtime.block_on(collect_body(body(), 500, memory.hold()));
    assert_eq!(over_limit, Err(BodyFailure::TooLarge { limit: 500 }));
    let over_room = runtime.block_on(collect_body(body(), 1_000, memory.hold()));
    assert_eq!(
        over_room,
        Err(BodyFailure::MemoryFull(MemoryFull {
            held: 0,
            bytes: 800,
            most: 500
        }))
    );
    let MemoryFull { bytes, most, .. } = memory.hold().check_room(800).expect_err("no room");
    assert!(
        MemoryFull {
            held: 0,
            bytes,
            most
        }
        .is_permanent()
    );
    assert_eq!(memory.peak(), 0);
}

/// Guards against bodies without progress that keep their room while others are refused.
#[tokio::test(start_paused = true)]
async fn a_stalled_body_is_refused_while_memory_is_short() {
    let memory = BodyMemory::new(1_000);
    let mut other = memory.hold();
    other.resize(400).expect("room");
    let first = stream::once(async { Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"x"))) });
    let body = StreamBody::new(futures::StreamExt::chain(first, stream::pending()));
    let mut reading = pin!(collect_body(body, 1_000, memory.hold()));
    let waited = tokio::time::timeout(STALL_TIME * 3, reading.as_mut()).await;
    assert!(waited.is_err(), "refused while there is room: {waited:?}");
    let mut third = memory.hold();
    third.resize(299).expect("room");
    let mut fourth = memory.hold();
    fourth.resize(100).expect("room");
    let refused = reading.await;
    assert!(
        matches!(refused, Err(BodyFailure::MemoryFull(_))),
        "{refused:?}"
    );
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
