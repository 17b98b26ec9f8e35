//! The operators' commands.

mod commands;
mod print;

pub use commands::run;

/// Exit codes for scripts.
pub mod exit {
    /// The command did what it was asked for.
    pub const DONE: u8 = 0;
    /// The arguments are wrong, or a local file can't be read.
    pub const USAGE: u8 = 1;
    /// The box refused; nothing was changed.
    pub const REFUSED: u8 = 2;
    /// No box was reached, or not the table behind it; nothing was changed.
    pub const NOT_REACHED: u8 = 3;
    /// The change may have been made.
    pub const UNKNOWN: u8 = 4;
}
