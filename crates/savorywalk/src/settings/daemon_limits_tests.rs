use super::super::LimitSettings;
use super::*;

const SYSTEM: SystemLimits = SystemLimits {
    memory_mb: 256,
    descriptors: 4_096,
};

fn limits(memory_mb: u32, request_bytes: u64) -> DaemonLimits {
    DaemonLimits::on(
        SYSTEM,
        &DaemonSettings {
            limits: Some(LimitSettings {
                memory_mb,
                request_bytes,
                ..Default::default()
            }),
            ..Default::default()
        },
    )
}

/// Guards against requests that take the whole memory of a small VM.
#[test]
fn bounds_follow_from_the_memory() {
    assert_eq!(limits(160, 0).request_bytes, 32 << 20);
    assert_eq!(limits(160, 1 << 20).request_bytes, 1 << 20);
    let default = DaemonLimits::on(SYSTEM, &DaemonSettings::default());
    assert_eq!(default, limits(256, 0));
}

/// Guards against a default that refuses a single body within the limits of a document.
#[test]
fn a_body_of_four_mebibytes_fits_on_the_smallest_vm() {
    assert!(limits(120, 0).request_bytes / 2 > 4 << 20);
}

/// Guards against connections that leave no descriptors for endpoints, links and files.
#[test]
fn connections_follow_from_descriptors_and_memory() {
    let connections = |memory_mb, descriptors| {
        let limits = LimitSettings {
            memory_mb,
            descriptors,
            ..Default::default()
        };
        let settings = DaemonSettings {
            limits: Some(limits),
            ..Default::default()
        };
        DaemonLimits::on(SYSTEM, &settings).connections
    };
    assert_eq!(connections(260, 4_100), 2_560);
    assert_eq!(connections(120, 3_075), 1_920);
    assert_eq!(connections(512, 16_384), 3_000);
    assert_eq!(connections(160, 400), 250);
}

/// Guards against listeners that open more descriptors together than their process has.
#[test]
fn all_listeners_leave_a_sixth_of_the_descriptors_free() {
    for descriptors in [400, 3_075, 4_100, 16_384] {
        let settings = DaemonSettings {
            limits: Some(LimitSettings {
                descriptors,
                ..Default::default()
            }),
            ..Default::default()
        };
        let limits = DaemonLimits::on(SYSTEM, &settings);
        let listeners = 3 * limits.refusal_connections + 2 * limits.probe_connections;
        assert!(limits.connections + listeners <= descriptors / 6 * 5);
    }
}
