//! The command line of sablecross. Exit codes: 0 success; 1 the checked input is rejected or differs, or the operation
//! did not succeed; 2 the command line or a file can't be used, or an error ended the command; 3 the machine was too
//! busy for a verdict.

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
#[command(
    name = "sablecross",
    version,
    about = "Operates and tests sablecross directors, relays and the cache hierarchy"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks, shows, compares and plans versions of the cache hierarchy.
    #[command(subcommand)]
    Hierarchy(hierarchy::Command),
    /// Shows the holders of the fleet's roles, hands roles over, and proposes hierarchy changes.
    #[command(subcommand, alias = "duty")]
    Coordination(coordination::Command),
    /// Runs a fleet trial on loopback: hundreds of directors with injected faults; measures how even the load stays.
    FleetTrial(fleet::Arguments),
    /// Runs a scale trial of event distribution: thousands of simulated directors, some real ones, relays and faults.
    Scale(scale::Arguments),
    /// Runs soaks: directors under overlapping faults, checked from outside against the invariants.
    Soak(soak::Arguments),
    /// Runs a relay, shows the status of relays, and publishes events through them.
    #[command(subcommand)]
    Relay(relay::Command),
    /// Runs an experiment on loopback: real directors, stub nodes, generated load and a report.
    #[command(subcommand, alias = "lab")]
    Testbed(testbed::Command),
    /// Computes the tables of docs/CAPACITY.md from measured costs.
    Capacity(capacity::Arguments),
    /// Measures the costs of the components at several sizes, and fits a line to each cost.
    #[command(alias = "slopes")]
    CostSlopes(cost_slopes::Arguments),
}

/// The result of a command that could be carried out.
enum CommandOutcome {
    /// Exit code 0.
    Success,
    /// Exit code 1: the checked input is rejected or differs, or the operation did not succeed.
    Rejected,
    /// Exit code 3: the machine was too busy for a verdict.
    NotJudged,
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Capacity(arguments) => capacity::run(&arguments),
        Command::Coordination(command) => coordination::run(&command),
        Command::Hierarchy(command) => hierarchy::run(&command),
        Command::Testbed(testbed::Command::Director) => {
            sablecross_testbed::exit_with_parent();
            return sablecross_director::process::run();
        }
        Command::Testbed(testbed::Command::Hollow) => {
            return match sablecross_testbed::scale::run_simulated_directors() {
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
    match result {
        Ok(CommandOutcome::Success) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Rejected) => ExitCode::from(1),
        Ok(CommandOutcome::NotJudged) => ExitCode::from(3),
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("{error}"));
            ExitCode::from(2)
        }
    }
}
