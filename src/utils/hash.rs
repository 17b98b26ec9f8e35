//! Hash functions whose results are the same on every box and in every version.

/// Offset basis and prime of 64-bit FNV-1a.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of strings. It is mixed, so that every bit depends on all input.
pub fn stable(parts: &[&str]) -> u64 {
    let mut hash = OFFSET;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }
    mix(hash)
}

/// Mixes a 64-bit value with the finalizer of SplitMix64, which is a bijection.
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
