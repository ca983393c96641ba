use super::*;

/// Guards against bytes that are lost where a body gets pages of its own.
#[test]
fn a_body_is_the_same_on_both_sides_of_the_threshold() {
    let whole: Vec<u8> = (0..3 * MAP_BYTES + 5).map(|byte| byte as u8).collect();
    for size in [0, 1, MAP_BYTES - 1, MAP_BYTES, MAP_BYTES + 1, whole.len()] {
        for piece in [1_000, 70_000] {
            for announced in [0, size] {
                let mut buffer = BodyBuffer::new(announced);
                for data in whole[..size].chunks(piece) {
                    buffer.push(data, whole.len()).expect("pages");
                }
                assert_eq!(buffer.len(), size);
                assert!(buffer.as_ref() == &whole[..size], "{size} in {piece}");
            }
        }
    }
}
