//! The program of one sablecross director. `NODE_CONFIG` names its configuration file.

use std::process::ExitCode;

fn main() -> ExitCode {
    sablecross_director::process::run()
}
