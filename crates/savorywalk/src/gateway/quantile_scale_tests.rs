use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const QUANTILE: f64 = 0.75;

/// Samples around `center`, spread by a factor of 1.5 both ways; three quarters
/// of them are below 1.22 times the center.
fn feed(scale: &mut QuantileScale, rng: &mut ChaCha8Rng, center: f64, samples: u32) {
    for _ in 0..samples {
        let spread: f64 = rng.random_range(-1.0..1.0);
        scale.observe(center * 1.5_f64.powf(spread), QUANTILE);
    }
}

fn is_near(value: f64, wanted: f64) -> bool {
    (value / wanted).ln().abs() < 0.2
}

#[test]
fn without_samples_forecasts_stand() {
    assert_eq!(QuantileScale::default().scale(), 1.0);
}

#[test]
fn an_engine_of_half_or_triple_the_speed_is_learned_from_some_requests() {
    for center in [2.0, 0.33] {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut scale = QuantileScale::default();
        feed(&mut scale, &mut rng, center, 250);
        assert!(is_near(scale.scale(), center * 1.22), "{scale:?}");
    }
}

#[test]
fn a_sudden_change_is_followed() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut scale = QuantileScale::default();
    feed(&mut scale, &mut rng, 1.0, 500);
    feed(&mut scale, &mut rng, 2.0, 100);
    assert!(is_near(scale.scale(), 2.44), "{scale:?}");
}

#[test]
fn a_slow_drift_is_followed() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut scale = QuantileScale::default();
    for step in 0..100 {
        feed(&mut scale, &mut rng, 1.0 + f64::from(step) / 100.0, 10);
    }
    assert!(is_near(scale.scale(), 2.44), "{scale:?}");
}

/// One endpoint of ten that answers after a minute, or claims to have answered
/// at once.
#[test]
fn one_endpoint_of_ten_that_lies_or_hangs_hardly_moves_it() {
    for outlier in [1e6, 1e-6] {
        let mut rng = ChaCha8Rng::seed_from_u64(4);
        let mut scale = QuantileScale::default();
        for _ in 0..100 {
            feed(&mut scale, &mut rng, 1.0, 9);
            scale.observe(outlier, QUANTILE);
        }
        assert!((1.0..1.5).contains(&scale.scale()), "{outlier}: {scale:?}");
    }
}

#[test]
fn what_is_no_number_is_no_sample() {
    let mut scale = QuantileScale::default();
    scale.observe(f64::NAN, QUANTILE);
    scale.observe(f64::INFINITY, QUANTILE);
    assert_eq!(scale, QuantileScale::default());
}

#[test]
fn it_stays_within_its_bounds() {
    let mut scale = QuantileScale::default();
    for _ in 0..10_000 {
        scale.observe(1e9, QUANTILE);
    }
    assert_eq!(scale.scale(), *SCALES.end());
}
