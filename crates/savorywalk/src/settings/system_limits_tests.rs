use super::*;

/// Guards against bounds of a large machine for a daemon that shares it, and against bounds of a
/// usual VM on a smaller one.
#[test]
fn the_smaller_of_the_system_and_a_usual_vm_counts() {
    let limits = |memory_mb, descriptors| {
        let limits = SystemLimits::capped(memory_mb, descriptors);
        (limits.memory_mb, limits.descriptors)
    };
    assert_eq!(limits(24_000, u64::MAX), (256, 4_096));
    assert_eq!(limits(120, 3_075), (120, 3_075));
}

#[test]
fn the_system_tells_its_limits() {
    let limits = SystemLimits::read();
    assert!(limits.memory_mb > 0 && limits.descriptors > 0, "{limits:?}");
}
