//! Entry point of the program. See the library crate for its documentation.

use std::process::ExitCode;

fn main() -> ExitCode {
    caperhollow::run(std::env::args_os())
}
