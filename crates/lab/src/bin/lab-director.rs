//! A real director, for the tests of the lab.

use std::process::ExitCode;

fn main() -> ExitCode {
    sablecross_director::life::start()
}
