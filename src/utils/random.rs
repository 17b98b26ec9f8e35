//! A seeded random number generator, so that runs can be reproduced.

use super::hash::mix;

/// A SplitMix64 generator. Not suitable for secrets.
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator. The same seed gives the same values.
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state)
    }

    /// Returns a value below `bound`, or 0 when `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.bits() % bound
    }

    /// Returns a value in [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Returns an exponentially distributed value with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
