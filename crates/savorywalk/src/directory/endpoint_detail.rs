//! Announcements as the messages between entries carry them.

use prost::Message;

use super::{EndpointAnnouncement, EndpointState, LoadBucket, ModelEntry};
use crate::generated::directory::{EndpointDetail, ModelDetail};
use crate::prelude::*;

/// Unit of ages on the wire.
const AGE_UNIT_MS: u128 = 20;

/// Age in units of the wire, rounded up so that no lease grows by it.
pub(super) fn age_units(age: Duration) -> u32 {
    u32::try_from(age.as_millis().div_ceil(AGE_UNIT_MS)).unwrap_or(u32::MAX)
}

/// Age that the wire's units stand for.
pub(super) fn age_of(units: u32) -> Duration {
    Duration::from_millis(u64::from(units) * AGE_UNIT_MS as u64)
}

/// Names everything of an announcement that lasts: all but sequence and load.
pub(super) fn key_of(announcement: &EndpointAnnouncement) -> u32 {
    let mut lasting = to_detail(announcement, Duration::ZERO);
    lasting.sequence = 0;
    lasting.load = 0;
    crc32c::crc32c(&lasting.encode_to_vec())
}

pub(super) fn to_detail(announcement: &EndpointAnnouncement, age: Duration) -> EndpointDetail {
    let models = announcement.models.iter().map(|model| ModelDetail {
        name: model.name.clone(),
        version: model.version.clone(),
        adapters: model.adapters.clone(),
    });
    EndpointDetail {
        endpoint: announcement.endpoint.clone(),
        address: announcement.address.to_string(),
        pool: announcement.pool.clone(),
        data_center: announcement.data_center.clone(),
        incarnation: announcement.incarnation,
        sequence: announcement.sequence,
        lease_ms: announcement.lease_ms,
        models: models.collect(),
        slots: announcement.slots,
        load: LoadBucket::of(announcement.load).byte().into(),
        age: age_units(age),
    }
}

/// The announcement that a detail stands for; `None` when its address is none.
pub(super) fn from_detail(detail: EndpointDetail) -> Option<EndpointAnnouncement> {
    let models = detail.models.into_iter().map(|model| ModelEntry {
        name: model.name,
        version: model.version,
        adapters: model.adapters,
    });
    Some(EndpointAnnouncement {
        endpoint: detail.endpoint,
        address: detail.address.parse().ok()?,
        pool: detail.pool,
        data_center: detail.data_center,
        incarnation: detail.incarnation,
        sequence: detail.sequence,
        state: EndpointState::Serving,
        lease_ms: detail.lease_ms,
        models: models.collect(),
        load: LoadBucket::from_byte(detail.load as u8).load(),
        slots: detail.slots,
        cache_events: Vec::new(),
    })
}
