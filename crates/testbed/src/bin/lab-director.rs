//! A real director, for the tests of the lab.

use std::process::ExitCode;

fn main() -> ExitCode {
    sablecross_testbed::exit_with_parent();
    sablecross_director::process::run()
}
