//! The program: see the library for what it does.

use std::process::ExitCode;

fn main() -> ExitCode {
    caperhollow::run(std::env::args_os())
}
