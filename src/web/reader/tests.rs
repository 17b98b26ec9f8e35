//! Tests of the growth of buffers.

use super::grown_capacity;

/// Guards against a body in chunks of one byte that is copied at each of them, which kept a box
/// from all other work.
#[test]
fn a_body_that_grows_byte_by_byte_is_copied_seldom() {
    let most = 1 << 20;
    let (mut capacity, mut copied) = (0, 0);
    for length in 0..most {
        if length == capacity {
            capacity = grown_capacity(capacity, length + 1, most);
            copied += length;
        }
    }
    assert!(copied <= 2 * most, "{copied} bytes copied");
    assert_eq!(capacity, most, "no more than the largest body");
}

#[test]
fn a_body_of_a_known_size_takes_no_more_than_that() {
    assert_eq!(grown_capacity(4_096, 5_000, 5_000), 5_000);
    assert_eq!(grown_capacity(4_096, 4_097, 100_000), 8_192);
}
