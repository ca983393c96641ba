use super::*;

const STALL: Duration = Duration::from_secs(1);

fn name(text: &str) -> Arc<str> {
    text.into()
}

fn table_of(now: Instant, endpoints: &[&str]) -> ProgressTable {
    let mut table = ProgressTable::default();
    for endpoint in endpoints {
        table.begin(now, &name(endpoint));
    }
    table
}

/// Guards against replacing streams while all engines are silent at once.
#[test]
fn endpoints_that_fell_silent_together_are_not_better() {
    let start = Instant::now();
    let mut table = table_of(start, &["a", "b", "c"]);
    for (index, endpoint) in ["a", "b", "c"].iter().enumerate() {
        table.record_heard(start + Duration::from_millis(20 * index as u64), endpoint);
    }
    for endpoint in ["b", "c"] {
        assert!(!table.is_better(start + STALL, endpoint, STALL));
    }
}

/// Guards against streams that stay with a lost engine although another one makes progress.
#[test]
fn an_endpoint_that_makes_progress_is_better() {
    let start = Instant::now();
    let mut table = table_of(start, &["a", "b"]);
    let now = start + STALL;
    table.record_heard(now - Duration::from_millis(100), "b");
    assert!(table.is_better(now, "b", STALL));
    assert!(
        table.is_better(now, "idle", STALL),
        "nothing speaks against it"
    );
    assert!(table.is_avoided(now, "a") && !table.is_avoided(now, "b"));
}

/// Guards against an endpoint that is avoided after it has gone on, or while it reads a usual prompt.
#[test]
fn an_endpoint_is_avoided_from_a_long_silence_to_its_first_byte() {
    const READING: Duration = Duration::from_millis(640);
    let start = Instant::now();
    let mut table = table_of(start, &["a"]);
    assert!(!table.is_avoided(start + READING, "a"));
    let now = start + STALL;
    assert!(table.is_avoided(now, "a"));
    table.record_heard(now, "a");
    assert!(!table.is_avoided(now, "a"));
}

/// Guards against a count of stalled calls that outlasts them.
#[test]
fn ended_stalls_are_not_counted() {
    let start = Instant::now();
    let mut table = table_of(start, &["a", "b"]);
    for endpoint in ["a", "a", "b"] {
        table.begin_stall(endpoint);
    }
    assert_eq!(table.stalled_count(), 2);
    for endpoint in ["a", "a", "b"] {
        table.end_stall(start, endpoint, None);
    }
    assert_eq!(table.stalled_count(), 0);
}

/// Guards against streams that swap between silent engines, since one without calls looked better than
/// one with silent calls.
#[test]
fn a_replaced_endpoint_counts_as_silent_for_a_while() {
    let start = Instant::now();
    let mut table = table_of(start, &["a"]);
    table.begin_stall("a");
    let now = start + STALL;
    table.end("a");
    table.end_stall(now, "a", Some(STALL));
    assert!(table.is_avoided(now, "a"));
    assert!(!table.is_better(now, "a", STALL));
    assert!(table.is_better(now + DOUBT_TIME, "a", STALL));
    table.record_heard(now, "a");
    assert!(!table.is_avoided(now, "a"));
}

/// Guards against a call that makes a silent endpoint look alive because it was just sent.
#[test]
fn a_further_call_does_not_end_a_silence() {
    let start = Instant::now();
    let mut table = table_of(start, &["a"]);
    table.begin(start + STALL, &name("a"));
    assert_eq!(table.silence(start + STALL, "a"), Some(STALL));
}

/// Guards against a table that grows with the endpoints ever called.
#[test]
fn endpoints_without_calls_have_no_row() {
    let start = Instant::now();
    let mut table = table_of(start, &["a", "a"]);
    table.end("a");
    assert!(table.silence(start, "a").is_some());
    table.end("a");
    table.end("a");
    assert_eq!(table.silence(start, "a"), None);
    assert!(table.endpoints.is_empty());
}

/// Guards against a replacement that is as silent as the endpoint that it replaces: a call that was
/// just sent says nothing about its endpoint.
#[test]
fn a_call_that_has_just_begun_proves_nothing() {
    let start = Instant::now();
    let mut table = table_of(start, &["a"]);
    let now = start + STALL;
    table.begin(now, &name("b"));
    assert!(!table.is_proven(now, "b", STALL));
    table.record_heard(now, "b");
    assert!(table.is_proven(now, "b", STALL));
    assert!(!table.is_proven(now, "idle", STALL));
}

/// Guards against streams that are handed, one after the other, to an engine that answers nothing.
#[test]
fn an_endpoint_without_a_sign_of_life_is_not_better_until_it_sends_something() {
    let start = Instant::now();
    let mut table = table_of(start, &["busy"]);
    table.record_heard(start, "busy");
    for endpoint in ["idle", "busy"] {
        assert!(table.is_better(start, endpoint, STALL), "{endpoint}");
        table.record_silent_probe(start, endpoint);
        assert!(!table.is_better(start, endpoint, STALL), "{endpoint}");
    }
    table.record_heard(start, "busy");
    assert!(table.is_better(start, "busy", STALL));
    assert!(table.is_better(start + SILENT_PROBE_TIME, "idle", STALL));
}

/// Guards against a longer doubt that is cut short by a probe without an answer.
#[test]
fn a_silent_probe_shortens_no_doubt() {
    let start = Instant::now();
    let mut table = ProgressTable::default();
    table.begin_stall("a");
    table.end_stall(start, "a", Some(STALL));
    table.record_silent_probe(start, "a");
    assert!(!table.is_better(start + SILENT_PROBE_TIME, "a", STALL));
}

/// Guards against an endpoint that gets no requests for seconds, because a call to it was replaced just
/// after another one had shown that it goes on.
#[test]
fn a_replacement_doubts_no_endpoint_that_makes_progress() {
    let start = Instant::now();
    let mut table = table_of(start, &["a"]);
    table.begin_stall("a");
    let now = start + STALL;
    table.record_heard(now - Duration::from_millis(5), "a");
    table.end_stall(now, "a", Some(STALL));
    assert!(!table.is_avoided(now, "a"));
    assert!(!table.take_failure("a"));
}

/// Guards against a silent endpoint that stays in use, because it made progress before the silence.
#[test]
fn progress_before_a_silence_leaves_the_endpoint_doubted() {
    let start = Instant::now();
    let mut table = table_of(start, &["a"]);
    table.record_heard(start, "a");
    table.begin_stall("a");
    let now = start + STALL;
    table.end_stall(now, "a", Some(STALL));
    assert!(table.is_avoided(now, "a"));
    assert!(table.take_failure("a"));
}

/// Guards against an endpoint that is ejected because several of its calls were replaced in one
/// silence.
#[test]
fn a_silence_counts_as_one_failure_however_many_calls_it_stalls() {
    let start = Instant::now();
    let mut table = table_of(start, &["a"]);
    let mut failures = Vec::new();
    for at in [0, 10, 20, 2_030] {
        table.begin_stall("a");
        table.end_stall(start + Duration::from_millis(at), "a", Some(STALL));
        failures.push(table.take_failure("a"));
    }
    assert_eq!(failures, [true, false, false, true]);
    table.record_heard(start + DOUBT_TIME, "a");
    assert!(!table.take_failure("a"));
}

/// Guards against an endpoint that is avoided while its silent call is open, and gets new requests as
/// soon as that call was replaced, since it made progress early in a long stall.
#[test]
fn a_replacement_leaves_an_avoided_endpoint_avoided() {
    let stall = Duration::from_secs(4);
    let start = Instant::now();
    let mut table = table_of(start, &["a"]);
    table.begin_stall("a");
    let now = start + stall;
    table.record_heard(now - Duration::from_millis(1_500), "a");
    assert!(table.is_avoided(now, "a"));
    table.end_stall(now, "a", Some(stall));
    table.end("a");
    assert!(table.is_avoided(now, "a"));
}
