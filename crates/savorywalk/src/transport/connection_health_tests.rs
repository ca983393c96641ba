use super::*;

const TICK: Duration = Duration::from_millis(100);

fn run(samples: &[(u64, u64)]) -> HealthState {
    let start = Instant::now();
    let mut health = ConnectionHealth::default();
    let mut state = HealthState::Live;
    for (index, &(asked, received)) in samples.iter().enumerate() {
        let sample = ConnectionSample { asked, received };
        state = health.observe(start + TICK * index as u32, sample);
    }
    state
}

#[test]
fn a_quiet_connection_is_live() {
    assert_eq!(run(&[(5, 9); 100]), HealthState::Live);
}

#[test]
fn a_connection_that_does_not_answer_is_suspect() {
    let mut samples = vec![(5, 9), (6, 9)];
    samples.extend([(7, 9); 9]);
    assert_eq!(run(&samples), HealthState::Live);
    samples.push((8, 9));
    assert_eq!(run(&samples), HealthState::Suspect);
}

#[test]
fn any_datagram_clears_the_suspicion() {
    let mut samples = vec![(5, 9)];
    samples.extend([(6, 9); 20]);
    assert_eq!(run(&samples), HealthState::Suspect);
    samples.push((6, 10));
    assert_eq!(run(&samples), HealthState::Live);
}
