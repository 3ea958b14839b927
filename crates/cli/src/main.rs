//! The command line of sablecross. Exit codes: 0 all is well, 1 what was asked about is refused or differs,
//! 2 the command line or a file can't be used, 3 the machine was too busy for a verdict.

mod capacity;
mod coordination;
mod cost_slopes;
mod fleet;
mod hierarchy;
mod relay;
mod scale;
mod soak;
mod testbed;
mod trial;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(name = "sablecross", version, about = "Looks after sablecross directors and what they work by")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Versions of the hierarchy of upper caches: checked, shown, compared, planned.
    #[command(subcommand)]
    Hierarchy(hierarchy::Command),
    /// Duties on behalf of the fleet: who owns what, and hand-overs.
    #[command(subcommand, alias = "duty")]
    Coordination(coordination::Command),
    /// A trial of a fleet on loopback: hundreds of directors, faults between them, how even the load stays.
    FleetTrial(fleet::Arguments),
    /// A trial of control at full size: thousands of hollow directors, real ones beside them, relays, faults.
    Scale(scale::Arguments),
    /// A soak: directors under overlapping troubles, judged from outside by the invariants.
    Soak(soak::Arguments),
    /// Relays between one source of events and the directors: run, show, publish.
    #[command(subcommand)]
    Relay(relay::Command),
    /// A small installation on loopback: real directors, stand-in nodes, load, a report.
    #[command(subcommand, alias = "lab")]
    Testbed(testbed::Command),
    /// The tables of docs/CAPACITY.md, worked out from what was measured.
    Capacity(capacity::Arguments),
    /// What the parts cost as they grow: measured again, each with its line and where that bends.
    #[command(alias = "slopes")]
    CostSlopes(cost_slopes::Arguments),
}

/// How a command ended that could be carried out.
enum CommandOutcome {
    Success,
    Rejected,
    NotJudged,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Capacity(arguments) => capacity::run(&arguments),
        Command::Coordination(command) => coordination::run(&command),
        Command::Hierarchy(command) => hierarchy::run(&command),
        Command::Testbed(testbed::Command::Director) => {
            sablecross_testbed::exit_with_parent();
            return sablecross_director::process::run();
        }
        Command::Testbed(testbed::Command::Hollow) => {
            return match sablecross_testbed::scale::hollow() {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("{e}");
                    ExitCode::FAILURE
                }
            };
        }
        Command::Scale(arguments) => scale::run(&arguments),
        Command::FleetTrial(arguments) => fleet::run(&arguments),
        Command::Testbed(command) => testbed::run(&command),
        Command::Relay(command) => relay::run(&command),
        Command::CostSlopes(arguments) => cost_slopes::run(&arguments),
        Command::Soak(arguments) => soak::run(&arguments),
    };
    match done {
        Ok(CommandOutcome::Success) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Rejected) => ExitCode::from(1),
        Ok(CommandOutcome::NotJudged) => ExitCode::from(3),
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("{f}"));
            ExitCode::from(2)
        }
    }
}
