use rstest::rstest;

use super::*;

#[rstest]
#[case::as_the_terms_say("auto", true, true)]
#[case::not_called_for("auto", false, false)]
#[case::turned_on("on", false, true)]
#[case::turned_off("off", true, false)]
fn a_switch_goes_before_the_terms(
    #[case] switch: &str,
    #[case] by_terms: bool,
    #[case] expected: bool,
) {
    let terms = LoadFeatures {
        appointments: by_terms,
        ..LoadFeatures::default()
    };
    let settings = GatewaySettings {
        appointments: switch.into(),
        ..GatewaySettings::default()
    };
    assert_eq!(terms.with_settings(&settings).appointments, expected);
}
