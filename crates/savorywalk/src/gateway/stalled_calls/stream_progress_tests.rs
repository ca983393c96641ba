use super::*;

/// Interval between two pieces.
const PIECE_INTERVAL: Duration = Duration::from_millis(10);

/// Guards against a stream that never counts as stalled since its endpoint sends bytes, although its
/// caller waits for an event.
#[test]
fn pieces_of_an_event_are_no_progress() {
    let start = Instant::now();
    let mut progress = StreamProgress::begin(start);
    for piece in 1..=500 {
        progress.record_frame(start + PIECE_INTERVAL * piece, false);
    }
    assert_eq!(progress.progressed(), start);
    assert_eq!(progress.partial_frames(), 500);
    let end = start + PIECE_INTERVAL * 501;
    assert_eq!(progress.record_frame(end, true), FrameKind::Progress);
    assert_eq!(progress.progressed(), end);
    assert_eq!((progress.frames(), progress.partial_frames()), (501, 0));
}

/// Guards against a log line for each piece, or for each event, of a stream.
#[test]
fn events_in_pieces_are_logged_once() {
    let now = Instant::now();
    let mut progress = StreamProgress::begin(now);
    let mut due = 0;
    for _ in 0..5 {
        for _ in 0..100 {
            let kind = progress.record_frame(now, false);
            due += usize::from(kind == FrameKind::Partial { is_due: true });
        }
        progress.record_frame(now, true);
    }
    assert_eq!(due, 1);
}
