use super::{InvalidReport, RegistryCall};
use crate::registry::EndpointReport;

/// Refuses a call whose texts are longer than `text_bytes`: registries and gateways keep them for each
/// endpoint.
pub(super) fn check(call: &RegistryCall, text_bytes: u32) -> Result<(), InvalidReport> {
    let (RegistryCall::Announce(report) | RegistryCall::Drain(report)) = call else {
        return Ok(());
    };
    let EndpointReport {
        id,
        pool,
        address,
        data_center,
        version,
        ..
    } = report;
    let mut texts = [id, pool, address, data_center, version].into_iter();
    match texts.any(|text| text.len() > text_bytes as usize) {
        true => Err(InvalidReport::TextTooLong { limit: text_bytes }),
        false => Ok(()),
    }
}

#[cfg(test)]
#[path = "report_limits_tests.rs"]
mod tests;
