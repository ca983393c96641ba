use super::*;

/// Guards against a silence that is counted from the start of a connection.
#[test]
fn a_silence_lasts_since_the_last_datagram() {
    let start = Instant::now();
    let mut silence = ConnectionSilence::new(start);
    let look = |index: u32| start + HEALTH_INTERVAL * index;
    assert_eq!(silence.observe(look(1), 1), Duration::ZERO);
    assert_eq!(silence.observe(look(2), 1), HEALTH_INTERVAL);
    assert_eq!(silence.observe(look(3), 1), HEALTH_INTERVAL * 2);
    assert_eq!(silence.observe(look(4), 2), Duration::ZERO);
}

/// Guards against peers that count as silent because this daemon was suspended.
#[test]
fn the_time_of_an_own_suspension_is_no_silence() {
    let start = Instant::now();
    let mut silence = ConnectionSilence::new(start);
    silence.observe(start, 1);
    let woken = start + Duration::from_secs(10);
    assert!(silence.observe(woken, 1) <= HEALTH_INTERVAL * MISSED_LOOKS);
    let later = woken + HEALTH_INTERVAL;
    assert!(silence.observe(later, 1) > HEALTH_INTERVAL, "it goes on");
}
