use proptest::prelude::*;

use super::*;

#[test]
fn only_complete_events_are_passed_on() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a"), None);
    let events = splitter.push(b"b\n\nid: 2\nda").unwrap();
    assert_eq!(&events[..], b"id: 1\ndata: ab\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    let events = splitter.push(b"ta: c\n\n").unwrap();
    assert_eq!(&events[..], b"id: 2\ndata: c\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn a_stream_that_is_cut_within_an_event_resumes_before_it() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 7\ndata: a\n\nid: 8\ndata: ha");
    splitter.drop_partial();
    assert_eq!(splitter.last_id(), Some(7));
    assert_eq!(splitter.finish(), None);
}

#[test]
fn a_resumed_stream_continues_after_the_last_event_of_the_caller() {
    let splitter = EventSplitter::after(Some(12));
    assert_eq!(splitter.last_id(), Some(12));
}

#[test]
fn events_end_at_lf_and_at_crlf() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 3\r\ndata: a\r\n\r\nid: 4").unwrap();
    assert_eq!(&events[..], b"id: 3\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.last_id(), Some(3));
    assert_eq!(&splitter.finish().unwrap()[..], b"id: 4");
}

#[test]
fn an_event_ends_at_cr_alone_and_at_mixed_line_breaks() {
    for text in [
        "id: 3\rdata: a\r\r",
        "id: 3\r\ndata: a\n\r\n",
        "\u{feff}id: 3\ndata: a\r\n\n",
    ] {
        let mut splitter = EventSplitter::default();
        let events = splitter.push(text.as_bytes()).unwrap();
        assert_eq!(events, text);
        assert_eq!(splitter.last_id(), Some(3), "{text:?}");
        assert!(!splitter.is_within_event(), "{text:?}");
    }
}

/// A line break that arrives in two reads is one line break, not an empty line.
#[test]
fn a_split_line_break_does_not_end_an_event() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 3\r"), None);
    assert_eq!(splitter.push(b"\ndata: a\r"), None);
    assert!(splitter.is_within_event());
    assert!(splitter.push(b"\n\r\n").is_some());
    assert!(!splitter.is_within_event());
}

#[test]
fn a_comment_or_retry_line_may_follow_the_last_event() {
    for (tail, is_within) in [
        (": comment\n", false),
        ("retry: 100\r\n", false),
        (": comment", true),
        ("retry: 100\nid: 4\n", true),
        ("id: 4\n", true),
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(format!("id: 3\ndata: a\n\n{tail}").as_bytes());
        assert_eq!(splitter.is_within_event(), is_within, "{tail:?}");
    }
}

/// A part of an event must not be followed by the whole event from another endpoint.
#[test]
fn a_stream_is_not_resumed_within_an_event_that_is_passed_on_in_parts() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: ");
    let passed = splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert!(passed.is_some());
    assert!(!splitter.is_resumable());
    assert!(splitter.is_within_event());
    assert!(splitter.push(b"\n\nid: 3").is_some());
    assert!(splitter.is_resumable());
    assert_eq!(splitter.last_id(), Some(2));
}

/// Guards against a stream that consists of a line without an end, or of comments, and is passed
/// on until the deadline.
#[rstest::rstest]
#[case::line(b"x".as_slice())]
#[case::comments(b": c\n")]
#[case::empty_comments(b":\n\n")]
fn bytes_without_an_event_are_bounded(#[case] unit: &[u8]) {
    let bytes = unit.repeat(1 << 10);
    for (first, limit) in [
        ("", MAX_EVENT_BYTES),
        ("id: 1\ndata: a\n\n", MAX_PASSED_BYTES),
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push_events(first.as_bytes()).unwrap();
        let pushes = (0..).find(|_| splitter.push_events(&bytes).is_err());
        let pushed = pushes.unwrap() * bytes.len();
        assert!(pushed <= limit && pushed + bytes.len() > limit, "{pushed}");
        assert_eq!(
            splitter.is_resumable(),
            first.is_empty() || unit.ends_with(b"\n\n")
        );
    }
}

/// Guards against a long stream of events, with comments between them, that is taken for one
/// without events.
#[test]
fn events_and_comments_may_come_in_any_number() {
    let mut splitter = EventSplitter::default();
    for _ in 0..20_000 {
        let events = splitter.push_events(b": comment\n\nid: 1\ndata: abcdefghijklmnopq\n\n");
        assert!(events.unwrap().is_some());
    }
}

fn event_list() -> impl Strategy<Value = Vec<String>> {
    let line_break = prop::sample::select(vec!["\n", "\r\n", "\r"]);
    let event = (line_break, "[a-z:]{0,9}", any::<bool>()).prop_map(|(end, data, has_comment)| {
        let comment = if has_comment {
            format!(": c{end}")
        } else {
            String::new()
        };
        format!("{comment}id: 1{end}data: {data}{end}{end}")
    });
    prop::collection::vec(event, 1..6)
}

proptest! {
    /// Whatever the line breaks and reads, a cut within an event shows, exactly the whole events
    /// before it are passed on, and a cut between two events does not show.
    #[test]
    fn a_cut_shows_if_and_only_if_it_is_within_an_event(
        events in event_list(),
        cut in any::<prop::sample::Index>(),
        reads in prop::collection::vec(1_usize..20, 1..40),
    ) {
        let text = events.concat();
        let cut = cut.index(text.len() + 1);
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut rest = &text.as_bytes()[..cut];
        let mut sizes = reads.into_iter().cycle();
        while !rest.is_empty() {
            let (read, later) = rest.split_at(sizes.next().unwrap_or(1).min(rest.len()));
            passed.extend(splitter.push(read).unwrap_or_default());
            rest = later;
        }
        let mut end = 0;
        let ends: Vec<usize> = events
            .iter()
            .map(|event| {
                end += event.len();
                end
            })
            .collect();
        let last = ends.iter().rev().find(|end| **end <= cut).copied().unwrap_or(0);
        let tail = &text.as_bytes()[last..cut];
        let is_comment = tail.starts_with(b": c") && tail.len() <= 5 && tail.ends_with(b"\n")
            || tail == b": c\r";
        // The second half of the event's last line break may be missing.
        let next = text.as_bytes().get(cut);
        let is_whole_but_lf = text[..cut].ends_with("\n\r") && next == Some(&b'\n');
        prop_assert_eq!(
            splitter.is_within_event(),
            !(tail.is_empty() || is_comment || is_whole_but_lf)
        );
        if !is_whole_but_lf {
            prop_assert_eq!(passed.as_slice(), &text.as_bytes()[..last]);
        }
    }
}
