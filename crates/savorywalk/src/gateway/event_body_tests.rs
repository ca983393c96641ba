use std::sync::atomic::{AtomicUsize, Ordering};

use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use proptest::prelude::*;
use tokio::runtime::Builder;

use super::*;
use crate::gateway::answer_memory::AnswerMemory;

type TestFrame = std::result::Result<Frame<Bytes>, hyper::Error>;

fn body(
    frames: impl stream::Stream<Item = TestFrame> + Unpin,
) -> EventBody<impl Body<Data = Bytes, Error = hyper::Error> + Unpin> {
    EventBody::new(StreamBody::new(frames), None, EndProof::Events)
}

fn buffer() -> EventBuffer {
    EventBuffer::after(None, Arc::<AnswerMemory>::default().hold())
}

fn frame(data: &'static [u8]) -> TestFrame {
    Ok(Frame::data(Bytes::from_static(data)))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(test);
}

/// Guards against an entry that serves nobody else while an endpoint sends pieces without a pause.
#[test]
fn other_tasks_run_while_pieces_are_ready() {
    const PIECES: usize = 100_000;
    run(async {
        let turns = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&turns);
        tokio::spawn(async move {
            loop {
                counter.fetch_add(1, Ordering::Relaxed);
                tokio::task::yield_now().await;
            }
        });
        let frames = stream::iter((0..PIECES).map(|_| frame(b"x")));
        let (mut body, mut buffer) = (body(frames), buffer());
        let read = tokio::spawn(async move { body.read(&mut buffer, |_, _| {}).await });
        assert!(matches!(read.await, Ok(EventRead::Ended)));
        let turns = turns.load(Ordering::Relaxed);
        assert!(turns > PIECES / 1_000, "{turns} turns of another task");
    });
}

/// Guards against a stack that grows with the pieces of an event.
#[test]
fn an_event_may_come_in_any_number_of_pieces() {
    run(async {
        let pieces = (0..200_000).map(|_| frame(b"x"));
        let frames = stream::iter([frame(b"data:")].into_iter().chain(pieces));
        let end = stream::iter([frame(b"\n"), frame(b"\n")]);
        let (mut body, mut buffer) = (body(stream::StreamExt::chain(frames, end)), buffer());
        let EventRead::Events(events) = body.read(&mut buffer, |_, _| {}).await else {
            panic!("no event");
        };
        assert_eq!(events.len(), 200_007);
    });
}

/// Guards against a stream of lines that has no limit since each piece is small.
#[test]
fn lines_without_an_event_exceed_their_limit() {
    run(async {
        let frames = stream::repeat_with(|| frame(b"data: x\n"));
        let (mut body, mut buffer) = (body(frames), buffer());
        let read = body.read(&mut buffer, |_, _| {}).await;
        let EventRead::Failed(StreamFailure::TooLarge(limit)) = read else {
            panic!("{read:?}");
        };
        assert!(limit.to_string().contains("without an event"), "{limit}");
        assert_eq!(body.progress().partial_frames(), 256 * 1_024 / 8);
    });
}

proptest! {
    /// Guards against bytes that are lost, or passed on twice, when a read is cancelled between two
    /// pieces, as it is whenever a search for another endpoint is due.
    #[test]
    fn cancelled_reads_lose_nothing(
        lengths in prop::collection::vec(0_usize..40, 1..8),
        cuts in prop::collection::vec(1_usize..30, 1..200),
    ) {
        let events: Vec<String> = lengths
            .iter()
            .enumerate()
            .map(|(id, length)| format!("id: {id}\ndata: {}\n\n", "x".repeat(*length)))
            .collect();
        let text = Bytes::from(events.concat());
        let mut pieces = Vec::new();
        let mut rest = text.clone();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            pieces.push(rest.split_to((*cut).min(rest.len())));
        }
        // Every other poll finds nothing, and the read is then cancelled.
        let mut is_pending = false;
        let mut pieces = pieces.into_iter();
        let frames = stream::poll_fn(move |_| {
            is_pending = !is_pending;
            match is_pending {
                true => std::task::Poll::Pending,
                false => std::task::Poll::Ready(pieces.next().map(|piece| Ok(Frame::data(piece)))),
            }
        });
        let (mut body, mut buffer) = (body(frames), buffer());
        let mut passed = Vec::new();
        loop {
            let read = futures::FutureExt::now_or_never(body.read(&mut buffer, |_, _| {}));
            match read {
                None => {}
                Some(EventRead::Events(events)) => passed.extend_from_slice(&events),
                Some(EventRead::Ended) => break,
                Some(read) => return Err(TestCaseError::fail(format!("{read:?}"))),
            }
        }
        prop_assert_eq!(Bytes::from(passed), text);
    }
}
