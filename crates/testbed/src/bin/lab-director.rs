//! The director program that the tests of this crate start.

use std::process::ExitCode;

fn main() -> ExitCode {
    sablecross_testbed::exit_with_parent();
    sablecross_director::process::run()
}
