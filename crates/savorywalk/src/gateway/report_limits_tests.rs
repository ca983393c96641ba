use super::*;

const LIMIT: u32 = 256;

fn report(version: String) -> EndpointReport {
    EndpointReport {
        id: "i-80fca3094b".into(),
        pool: "engines".into(),
        address: "10.0.0.4:8080".into(),
        data_center: "bole".into(),
        version,
        ..Default::default()
    }
}

/// Guards against texts that are kept for each endpoint whatever their size.
#[test]
fn a_long_text_is_refused_in_each_call_that_keeps_it() {
    let long = Err(InvalidReport::TextTooLong { limit: LIMIT });
    for call in [RegistryCall::Announce, RegistryCall::Drain] {
        assert_eq!(check(&call(report("x".repeat(257))), LIMIT), long);
        assert_eq!(check(&call(report("x".repeat(256))), LIMIT), Ok(()));
    }
}
