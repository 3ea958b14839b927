//! A real director, for the tests of the lab.

use std::process::ExitCode;

fn main() -> ExitCode {
    sablecross_lab::end_with_parent();
    sablecross_director::life::start()
}
