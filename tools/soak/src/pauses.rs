//! Pauses that follow each other, at times drawn from a seed.

use willowpoint::utils::random::Random;

/// Shortest and longest pause, and shortest and longest time until the next one, in ms.
#[derive(Clone, Copy, Debug)]
pub struct Rhythm {
    pause: (u64, u64),
    gap: (u64, u64),
}

/// Short pauses of a process that runs in between.
pub const FLICKER: Rhythm = Rhythm {
    pause: (50, 700),
    gap: (20, 300),
};
/// Pauses of a process that gets little time.
pub const STARVATION: Rhythm = Rhythm {
    pause: (40, 120),
    gap: (5, 30),
};

/// A sequence of pauses.
#[derive(Clone, Debug)]
pub struct Pauses {
    random: Random,
    rhythm: Rhythm,
    paused: bool,
    /// Time of the next change.
    next: u64,
}

impl Pauses {
    /// Returns a sequence that begins at `now` with a pause.
    pub fn new(rhythm: Rhythm, seed: u64, now: u64) -> Self {
        Self {
            random: Random::new(seed),
            rhythm,
            paused: false,
            next: now,
        }
    }

    /// Returns true if a pause begins at `now` and false if one ends; none if nothing changes.
    pub fn step(&mut self, now: u64) -> Option<bool> {
        if now < self.next {
            return None;
        }
        self.paused = !self.paused;
        let (min, max) = match self.paused {
            true => self.rhythm.pause,
            false => self.rhythm.gap,
        };
        self.next = now + min + self.random.below(max - min);
        Some(self.paused)
    }
}
