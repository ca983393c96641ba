use super::*;

#[test]
fn nothing_is_told_of_a_few() {
    let mut sketch = LatencySketch::default();
    for _ in 1..MIN_OBSERVATIONS {
        sketch.record(Duration::from_millis(5));
    }
    assert_eq!(sketch.quantile(0.95), None);
    sketch.record(Duration::from_millis(5));
    assert!(sketch.quantile(0.95).is_some());
}

#[test]
fn old_durations_are_forgotten() {
    let mut sketch = LatencySketch::default();
    for _ in 0..WINDOW {
        sketch.record(Duration::from_secs(5));
    }
    for _ in 0..2 * WINDOW {
        sketch.record(Duration::from_millis(5));
    }
    let told = sketch.quantile(0.99).unwrap();
    assert!(told < Duration::from_millis(6), "{told:?}");
}
