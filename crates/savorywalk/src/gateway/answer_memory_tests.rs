use std::sync::atomic::AtomicUsize;

use super::*;

const ENDLESS: usize = 4_000;
const STEP_BYTES: usize = 4 << 10;
const SMALL_BYTES: usize = 800;

/// Guards against answers without end that together use up the memory of an entry.
#[test]
fn answers_without_end_share_the_memory_of_an_entry() {
    let memory = Arc::new(AnswerMemory::default());
    for count in [1, 40, ENDLESS] {
        let mut holds: Vec<AnswerHold> = (0..count).map(|_| memory.hold()).collect();
        let mut is_growing = true;
        let mut bytes = 0;
        while is_growing {
            bytes += STEP_BYTES;
            let grown = holds.iter_mut().map(|hold| hold.resize(bytes).is_ok());
            is_growing = grown.fold(false, |any, has_grown| any | has_grown);
        }
        assert!(memory.bodies.held() <= MAX_HELD_BYTES);
        let mut small = memory.hold();
        assert_eq!(small.resize(SMALL_BYTES), Ok(()), "beside {count} answers");
        drop((holds, small));
        assert_eq!(memory.bodies.held(), 0);
    }
}

/// Guards against a large answer that is refused although no other one needs the memory.
#[test]
fn one_answer_may_have_its_whole_size() {
    let memory = Arc::new(AnswerMemory::default());
    let mut hold = memory.hold();
    assert_eq!(hold.resize(MAX_ANSWER_BYTES), Ok(()));
    let limit = AnswerLimit::Answer {
        bytes: MAX_ANSWER_BYTES,
    };
    assert_eq!(hold.resize(MAX_ANSWER_BYTES + 1), Err(limit));
    assert_eq!(hold.resize(SMALL_BYTES), Ok(()));
    assert_eq!(memory.bodies.held(), SMALL_BYTES);
}

/// Guards against an answer whose blocks come in another order, or not all.
#[tokio::test]
async fn an_answer_of_many_blocks_is_passed_on_whole() {
    let memory = Arc::new(AnswerMemory::default());
    let mut buffer = AnswerBuffer::new(memory.hold());
    let whole: Vec<u8> = (0..3 * BLOCK_BYTES + 7).map(|byte| byte as u8).collect();
    for frame in whole.chunks(1_000) {
        buffer.push(frame).unwrap();
    }
    let body = buffer.into_body();
    assert_eq!(body.size_hint().exact(), Some(whole.len() as u64));
    let collected = body.collect().await.unwrap();
    assert_eq!(collected.to_bytes(), whole);
    assert_eq!(memory.bodies.held(), 0);
}

/// Guards against an entry that serves nobody else while an endpoint sends pieces without a pause.
#[test]
fn other_tasks_run_while_pieces_of_an_answer_are_ready() {
    const PIECES: usize = 100_000;
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(async {
        let turns = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&turns);
        tokio::spawn(async move {
            loop {
                counter.fetch_add(1, Ordering::Relaxed);
                tokio::task::yield_now().await;
            }
        });
        let piece = || Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"x")));
        let pieces = futures::stream::iter(std::iter::repeat_with(piece).take(PIECES));
        let body = http_body_util::StreamBody::new(pieces);
        let hold = Arc::<AnswerMemory>::default().hold();
        let whole = tokio::spawn(read_complete(body, hold)).await;
        assert_eq!(
            whole.expect("no panic").map(|whole| whole.len()),
            Ok(PIECES)
        );
        let turns = turns.load(Ordering::Relaxed);
        assert!(turns > PIECES / 1_000, "{turns} turns of another task");
    });
}
