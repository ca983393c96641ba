use crate::hashing::stable_hash;
use crate::registry::EndpointReport;

/// Hashes of a report that determine its part and digest in a [`super::PartDigests`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::registry) struct ReportKey {
    /// Hash of the endpoint's name; its highest bits are the number of the part.
    pub(in crate::registry) name_hash: u64,
    /// Hash of all fields that entries use; `cold_ms` counts only as zero or not.
    pub(super) content_hash: u64,
}

impl ReportKey {
    /// Computes the key of a report. The sequence number is left out, because entries are not
    /// sent each announcement.
    pub(in crate::registry) fn from_report(report: &EndpointReport) -> Self {
        let flags = [u8::from(report.cold_ms > 0), u8::from(report.silent)];
        Self {
            name_hash: stable_hash(&[report.id.as_bytes()]),
            content_hash: stable_hash(&[
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

    /// Number of the part to which the endpoint belongs, of `parts`, a power of two.
    pub(in crate::registry) fn part(&self, parts: u32) -> u32 {
        match parts.checked_ilog2() {
            None | Some(0) => 0,
            Some(bits) => (self.name_hash >> (u64::BITS - bits)) as u32,
        }
    }
}
