//! A relay of a trial: what tests start. `sablecross relay run FILE` is the same.

use std::process::ExitCode;

fn main() -> ExitCode {
    let file = std::env::args_os().nth(1).unwrap_or_default();
    let done =
        sablecross_relay_server::RelayServerConfig::load(std::path::Path::new(&file)).and_then(|setting| {
            sablecross_relay_server::process::exit_with_parent();
            sablecross_relay_server::process::run(setting).map_err(|e| vec![e.to_string()])
        });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("{f}"));
            ExitCode::from(2)
        }
    }
}
