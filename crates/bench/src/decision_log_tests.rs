use super::*;

const LOG: &str = "\
time=2026-12-03T10:00:00.100Z level=info event=plan_decided request=a route=r-1 waited_ms=40 outcome=begun_timely
time=2026-12-03T10:00:00.200Z level=info event=plan_refused request=b route=r-1 waiting=3
time=2026-12-03T10:00:01.900Z level=info event=piece_call_ended pool=encode endpoint=i-1 pieces=8 waited_ms=5 result=answered ms=200
time=2026-12-03T10:00:01.950Z level=info event=piece_call_ended pool=encode endpoint=i-1 pieces=4 waited_ms=7 result=answered ms=150
time=2026-12-03T10:00:01.960Z level=info event=piece_call_ended pool=encode endpoint=i-2 pieces=9 result=denied ms=9
time=2026-12-03T10:00:02.000Z level=info event=request_refused request=b route=\"\" reason=unknown_route
not a log line
";

#[test]
fn decisions_are_counted_by_window_route_and_pool() {
    let mut log = DecisionLog::new(2.0);
    log.read("entry-1.log", LOG);
    let text = log.to_string();
    let windows: Vec<&str> = text.split("from second").skip(1).collect();
    assert_eq!(windows.len(), 2, "{text}");
    for expected in [
        "plans r-1 begun_timely 1",
        "plans r-1 refused_at_once 1",
        "pool encode calls 2 pieces a call 6.0, p50 200 ms",
        "endpoints 1 busy 350 to 350 ms",
    ] {
        assert!(windows[0].contains(expected), "{text}");
    }
    assert!(windows[1].contains("refused  unknown_route 1"), "{text}");
    assert!(
        text.contains("2 decisions on plans, by entry\n  2 entry-1.log"),
        "{text}"
    );
}

#[test]
fn a_number_before_a_line_is_its_time_and_the_last_word_its_source() {
    let mut log = DecisionLog::new(2.0);
    let line = LOG.lines().next().unwrap();
    log.read("all.log", &format!("   8.5000 entry-7 {line}"));
    let text = log.to_string();
    assert!(text.contains("from second 8.0"), "{text}");
    assert!(text.contains("1 entry-7"), "{text}");
}
