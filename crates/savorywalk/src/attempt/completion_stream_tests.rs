use std::convert::Infallible;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use proptest::prelude::*;
use tokio::runtime::Builder;

use super::*;

type TestFrame = std::result::Result<Frame<Bytes>, Infallible>;

const TOKEN: &str = "data: {\"offset\":1,\"choices\":[{\"text\":\"a\"}]}";
const LAST: &str = "data: {\"offset\":2,\"choices\":[{\"text\":\"b\",\"finish_reason\":\"stop\"}]}";

fn completion(pieces: impl Iterator<Item = Bytes> + Send + 'static) -> CompletionStream {
    let frames = pieces.map(|piece| -> TestFrame { Ok(Frame::data(piece)) });
    CompletionStream::new(StreamBody::new(stream::iter(frames)))
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(test)
}

/// Reads a completion to its end, and returns its texts.
async fn read(mut stream: CompletionStream) -> Result<Vec<String>> {
    let mut texts = Vec::new();
    loop {
        match stream.next().await? {
            StreamItem::Token(event) => texts.push(event.text),
            StreamItem::End(_) => return Ok(texts),
        }
    }
}

/// Guards against an engine whose bytes without an event fill the memory of an entry.
#[test]
fn a_line_without_end_exceeds_its_limit() {
    let line = std::iter::once(Bytes::from_static(b"data: "));
    let pieces = line.chain(std::iter::repeat_n(
        Bytes::from_static(b"xxxxxxxx"),
        1 << 18,
    ));
    let end = run(read(completion(pieces)));
    let error = end.expect_err("no event").to_string();
    assert!(error.contains("without an event"), "{error}");
}

/// Guards against an entry that serves nobody else while an engine sends pieces without a pause.
#[test]
fn other_tasks_run_while_pieces_are_ready() {
    const PIECES: usize = 2_000;
    let turns = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&turns);
    let comment = "x".repeat(PIECES);
    let text = format!("{LAST}\n\n: {comment}\n\ndata: [DONE]\n\n");
    let pieces =
        (0..text.len()).map(move |index| Bytes::copy_from_slice(&text.as_bytes()[index..=index]));
    run(async {
        tokio::spawn(async move {
            loop {
                counter.fetch_add(1, Ordering::Relaxed);
                tokio::task::yield_now().await;
            }
        });
        let reading = tokio::spawn(read(completion(pieces)));
        assert_eq!(
            reading.await.ok().and_then(Result::ok),
            Some(vec!["b".to_string()])
        );
    });
    let turns = turns.load(Ordering::Relaxed);
    assert!(turns > PIECES / 1_000, "{turns} turns of another task");
}

proptest! {
    /// Guards against events that are lost, joined or read twice between pieces.
    #[test]
    fn a_completion_is_the_same_in_any_pieces(
        line_break in prop::sample::select(vec!["\n", "\r\n", "\r"]),
        cuts in prop::collection::vec(1_usize..40, 1..20),
    ) {
        let lines = [TOKEN, "", ": comment", "", TOKEN, "", LAST, "", "data: [DONE]", "", ": end", ""];
        let mut rest = Bytes::from(lines.join(line_break));
        let mut pieces = Vec::new();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            pieces.push(rest.split_to((*cut).min(rest.len())));
        }
        let texts = run(read(completion(pieces.into_iter())));
        prop_assert_eq!(texts.ok(), Some(vec!["a".to_string(), "a".into(), "b".into()]));
    }
}
