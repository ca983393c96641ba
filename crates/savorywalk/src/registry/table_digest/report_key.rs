use crate::hashing::stable_hash;
use crate::registry::EndpointReport;

/// Place and content of a report in a [`super::PartDigests`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::registry) struct ReportKey {
    /// Hash of the endpoint's name; its highest bits name the part.
    pub(in crate::registry) place: u64,
    /// Hash of all fields that entries use.
    pub(super) content: u64,
}

impl ReportKey {
    /// The key of a report. Sequences are left out, since entries are not sent each
    /// announcement.
    pub(in crate::registry) fn of(report: &EndpointReport) -> Self {
        let flags = [u8::from(report.cold_ms > 0), u8::from(report.silent)];
        Self {
            place: stable_hash(&[report.id.as_bytes()]),
            content: stable_hash(&[
                report.id.as_bytes(),
                report.pool.as_bytes(),
                report.address.as_bytes(),
                report.data_center.as_bytes(),
                &report.slots.to_le_bytes(),
                &report.born_ms.to_le_bytes(),
                &flags,
            ]),
        }
    }

    /// The part that it belongs to, of `parts`, a power of two.
    pub(in crate::registry) fn part(&self, parts: u32) -> u32 {
        match parts.checked_ilog2() {
            None | Some(0) => 0,
            Some(bits) => (self.place >> (u64::BITS - bits)) as u32,
        }
    }
}
