//! The `willowpoint` program.

use std::process::ExitCode;

use willowpoint::options::args::command;

fn main() -> ExitCode {
    willowpoint::program::run(command().run())
}
