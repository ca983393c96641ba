//! What a platform fills into `deploy/*.ini` starts a daemon, whatever sound
//! figures it holds, and is kept to. See docs/incidents/fractional-bounds.md.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use savorywalk::settings::{self, DaemonSettings, SettingsReading};

/// Figures of one deployment, by the names that the templates use.
type TemplateFields = BTreeMap<&'static str, String>;

/// A figure as a platform writes it; none where it has no such figure.
type Figure = Option<f64>;

const GATEWAY: &str = "gateway.ini";
const REGISTRY: &str = "registry.ini";

/// Loss in a figure that passes through decimal text and a factor of 1,000.
const TEXT_LOSS: f64 = 1e-9;

fn sound_fields() -> TemplateFields {
    let fields = [
        ("nodeName", "front-bole-1"),
        ("zone", "bole"),
        ("region", "addis"),
        ("ip", "10.1.0.41"),
        ("internalPorts.0", "7740"),
        ("seeds", "10.1.0.44:8628,10.2.0.27:8628"),
        ("bootstrap", "true"),
        ("listen.front", "10.1.0.41:8625"),
        ("listen.readyAddress", "10.1.0.41:8621"),
        ("listen.control", "10.1.0.41:8628"),
        ("dataDir", "/data"),
        ("heartbeatMs", "1200"),
        ("contracts", "base,drain,stages"),
        ("limits.cpuShare", "0.12"),
        ("bounds.revokeMs", "5000"),
        ("bounds.retryBudgetRatio", "0.2"),
        ("bounds.retryExtra", "52"),
        ("bounds.retryWindowS", "10"),
        ("bounds.graceS", "8"),
        ("bounds.coldOverage", "1.5"),
        ("bounds.coldSlack", "5"),
        ("@", "bole"),
        (".", "addis"),
    ];
    let fields = fields.into_iter();
    fields
        .map(|(name, value)| (name, value.to_string()))
        .collect()
}

/// The template with `{{name}}` replaced; a name without a value leaves nothing.
fn filled(template: &str, fields: &TemplateFields) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../deploy")
        .join(template);
    let mut rest = fs::read_to_string(path).expect("the template is there");
    let mut text = String::new();
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, left) = after.split_once("}}").expect("a placeholder ends");
        text.push_str(before);
        text.push_str(fields.get(name).map_or("", String::as_str));
        rest = left.to_string();
    }
    text + &rest
}

fn read(template: &str, fields: &TemplateFields) -> settings::Result<SettingsReading> {
    settings::parse_in(&filled(template, fields), Path::new(""))
}

fn read_with(template: &str, name: &'static str, value: &str) -> settings::Result<SettingsReading> {
    let mut fields = sound_fields();
    fields.insert(name, value.to_string());
    read(template, &fields)
}

fn written(figure: Figure) -> String {
    figure.map(|figure| figure.to_string()).unwrap_or_default()
}

#[rstest]
#[case(GATEWAY)]
#[case(REGISTRY)]
fn whole_figures_are_taken_as_they_are(#[case] template: &str) {
    let reading = read(template, &sound_fields()).unwrap();
    assert_eq!(reading.adjustments, []);
}

#[test]
fn a_budget_with_a_fraction_is_kept_exactly() {
    let extra = "35.166666666666664";
    let reading = read_with(GATEWAY, "bounds.retryExtra", extra).unwrap();
    assert_eq!(
        reading.settings.gateway.unwrap().retry_extra,
        35.166666666666664
    );
    assert_eq!(reading.adjustments, []);
}

#[test]
fn seconds_with_a_fraction_are_not_joined_with_digits() {
    let reading = read_with(GATEWAY, "bounds.retryWindowS", "2.5").unwrap();
    assert_eq!(reading.settings.gateway.unwrap().retry_window_ms, 2_500);
    let reading = read_with(GATEWAY, "bounds.graceS", "1.4166666").unwrap();
    assert_eq!(reading.settings.gateway.unwrap().stop_time_ms, 1_416);
    assert_eq!(reading.adjustments.len(), 1);
}

/// Every figure of the templates: the platform's name, the key, its default.
#[rstest]
#[case(GATEWAY, "bounds.revokeMs", "key_bound_ms")]
#[case(GATEWAY, "bounds.retryBudgetRatio", "retry_share")]
#[case(GATEWAY, "bounds.retryExtra", "retry_extra")]
#[case(GATEWAY, "bounds.retryWindowS", "retry_window_ms")]
#[case(GATEWAY, "bounds.graceS", "stop_time_ms")]
#[case(GATEWAY, "bounds.coldOverage", "cold_overage")]
#[case(GATEWAY, "bounds.coldSlack", "cold_slack")]
#[case(GATEWAY, "heartbeatMs", "announce_interval_ms")]
#[case(GATEWAY, "limits.cpuShare", "processor_cores")]
#[case(REGISTRY, "heartbeatMs", "announce_interval_ms")]
fn a_figure_that_the_platform_does_not_have_leaves_the_default(
    #[case] template: &str,
    #[case] name: &'static str,
    #[case] key: &str,
) {
    let reading = read_with(template, name, "").unwrap();
    let [adjustment] = reading.adjustments.as_slice() else {
        panic!("one note is expected: {:?}", reading.adjustments);
    };
    assert_eq!(adjustment.key, key);
    assert_eq!(adjustment.reason, settings::AdjustmentReason::LeftEmpty);
}

#[rstest]
#[case(GATEWAY, "bounds.revokeMs", "key_bound_ms")]
#[case(GATEWAY, "bounds.retryBudgetRatio", "retry_share")]
#[case(GATEWAY, "bounds.retryExtra", "retry_extra")]
#[case(GATEWAY, "bounds.retryWindowS", "retry_window_ms")]
#[case(GATEWAY, "bounds.graceS", "stop_time_ms")]
#[case(GATEWAY, "limits.cpuShare", "processor_cores")]
#[case(REGISTRY, "heartbeatMs", "announce_interval_ms")]
fn what_is_no_figure_is_an_error_with_key_value_and_remedy(
    #[case] template: &str,
    #[case] name: &'static str,
    #[case] key: &str,
    #[values("-1", "soon", "true", "nan", "1,5")] value: &str,
) {
    let report = read_with(template, name, value).unwrap_err();
    let [error] = report.errors.as_slice() else {
        panic!("one error is expected: {report:?}");
    };
    assert_eq!(error.key, key);
    assert!(error.to_string().contains(value), "{error}");
    assert!(error.remedy.starts_with("write a"), "{error:?}");
}

/// Figures that the platform's pages allow: whole, with a fraction, zero, very
/// large, none.
fn figure() -> impl Strategy<Value = Figure> {
    prop_oneof![
        1 => Just(None),
        1 => Just(Some(0.0)),
        3 => (0_u32..100_000).prop_map(|whole| Some(f64::from(whole))),
        3 => (0.0_f64..100_000.0).prop_map(Some),
        1 => (1e5_f64..1e9).prop_map(Some),
    ]
}

fn at_most(taken: f64, figure: Figure, factor: f64) -> bool {
    figure.is_none_or(|figure| taken <= figure * factor * (1.0 + TEXT_LOSS))
}

fn at_least(taken: f64, figure: Figure, factor: f64) -> bool {
    figure.is_none_or(|figure| taken >= figure * factor * (1.0 - TEXT_LOSS))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_gateway_keeps_any_sound_bounds(
        revoke_ms in figure(),
        ratio in figure(),
        extra in figure(),
        window_s in figure(),
        grace_s in figure(),
    ) {
        let mut fields = sound_fields();
        fields.insert("bounds.revokeMs", written(revoke_ms));
        fields.insert("bounds.retryBudgetRatio", written(ratio));
        fields.insert("bounds.retryExtra", written(extra));
        fields.insert("bounds.retryWindowS", written(window_s));
        fields.insert("bounds.graceS", written(grace_s));
        let reading = read(GATEWAY, &fields).unwrap();
        let gateway = reading.settings.gateway.unwrap();
        prop_assert!(at_most(gateway.key_bound_ms.into(), revoke_ms, 1.0));
        prop_assert!(at_most(gateway.retry_share, ratio, 1.0));
        prop_assert!(at_most(gateway.retry_extra, extra, 1.0));
        prop_assert!(at_least(gateway.retry_window_ms as f64, window_s, 1_000.0));
        prop_assert!(at_most(gateway.stop_time_ms.into(), grace_s, 1_000.0));
    }

    #[test]
    fn a_registry_keeps_any_sound_interval(interval_ms in figure()) {
        // Beyond a day between two announcements an endpoint can't be known.
        let interval_ms = interval_ms.filter(|interval| *interval <= 86_400_000.0);
        let mut fields = sound_fields();
        fields.insert("heartbeatMs", written(interval_ms));
        let reading = read(REGISTRY, &fields).unwrap();
        let DaemonSettings { registry, .. } = reading.settings;
        let taken = f64::from(registry.unwrap().announce_interval_ms);
        prop_assert!(at_least(taken, interval_ms, 1.0));
    }
}
