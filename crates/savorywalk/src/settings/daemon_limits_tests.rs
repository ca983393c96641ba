use super::*;

fn limits(memory_mb: u32, request_bytes: u64) -> DaemonLimits {
    DaemonLimits::new(&DaemonSettings {
        limits: Some(LimitSettings {
            memory_mb,
            request_bytes,
            ..Default::default()
        }),
        ..Default::default()
    })
}

/// Guards against requests that take the whole memory of a small VM.
#[test]
fn bounds_follow_from_the_memory() {
    assert_eq!(limits(160, 0).request_bytes, 20 << 20);
    assert_eq!(limits(160, 1 << 20).request_bytes, 1 << 20);
    let default = DaemonLimits::new(&DaemonSettings::default());
    assert_eq!(default, limits(256, 0));
}

/// Guards against a default that refuses a single body within the limits of a document.
#[test]
fn a_body_of_four_mebibytes_fits_on_the_smallest_vm() {
    assert!(limits(120, 0).request_bytes / 2 > 4 << 20);
}
