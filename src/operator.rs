//! Commands of operators, which call an entry box and print its reply.

mod commands;
mod print;

pub use commands::run;

/// Exit codes for scripts.
pub mod exit {
    /// The command succeeded.
    pub const DONE: u8 = 0;
    /// The arguments are wrong, or a local file cannot be read.
    pub const USAGE: u8 = 1;
    /// The box refused the command, or a settings file has findings; nothing was changed.
    pub const REFUSED: u8 = 2;
    /// No box was reached, or the box did not reach its table; nothing was changed.
    pub const NOT_REACHED: u8 = 3;
    /// The outcome is unknown; the change may have been made.
    pub const UNKNOWN: u8 = 4;
}
