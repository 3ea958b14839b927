//! `sablecross lab ...`

use std::path::PathBuf;

use clap::Subcommand;
use sablecross_lab::settings;

use crate::Verdict;

#[derive(Subcommand)]
pub enum Command {
    /// Runs an experiment and writes report.txt, report.json and plot.svg.
    Run {
        file: PathBuf,
        /// Where the report and the directors' logs go.
        #[arg(long, default_value = "found/lab")]
        out: PathBuf,
        /// In place of the file's own.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// A director of an experiment: what `run` starts.
    #[command(hide = true)]
    Director,
}

pub fn run(command: &Command) -> Result<Verdict, Vec<String>> {
    let Command::Run { file, out, seed } = command else { return Ok(Verdict::Well) };
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
    let mut experiment =
        settings::read(&name, &text).map_err(|f| f.iter().map(ToString::to_string).collect::<Vec<_>>())?;
    experiment.seed = seed.unwrap_or(experiment.seed);
    let own = std::env::current_exe().map_err(|e| vec![format!("this program: {e}")])?;
    let director = || {
        let mut command = std::process::Command::new(&own);
        command.args(["lab", "director"]);
        command
    };
    let report = sablecross_lab::run(&experiment, &director, out, |line| eprintln!("{line}"))
        .map_err(|e| vec![e.to_string()])?;
    report.write(out).map_err(|e| vec![format!("{}: {e}", out.display())])?;
    print!("{report}");
    println!("report, plot and logs: {}", out.display());
    Ok(if report.breaches().is_empty() { Verdict::Well } else { Verdict::Refused })
}
