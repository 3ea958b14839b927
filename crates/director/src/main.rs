//! One sablecross director: `NODE_CONFIG` names its configuration.

use std::process::ExitCode;

fn main() -> ExitCode {
    sablecross_director::process::run()
}
