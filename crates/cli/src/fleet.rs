//! `sablecross fleet-trial ...`

use std::path::PathBuf;

use clap::Args;
use sablecross_lab::fleet;

use crate::Verdict;

#[derive(Args)]
pub struct Arguments {
    /// The trial, as an S-expression: see docs/spread-operators.md.
    file: PathBuf,
    /// Where the report, the plot and the directors' logs go.
    #[arg(long, default_value = "found/fleet")]
    out: PathBuf,
    /// In place of the file's own.
    #[arg(long)]
    seed: Option<u64>,
    #[arg(long)]
    directors: Option<usize>,
    /// Another build of the director to try, in place of this program's own.
    #[arg(long)]
    director: Option<PathBuf>,
}

pub fn run(a: &Arguments) -> Result<Verdict, Vec<String>> {
    let name = a.file.display().to_string();
    let text = std::fs::read_to_string(&a.file).map_err(|e| vec![format!("{name}: {e}")])?;
    let mut trial = fleet::settings::read(&name, &text)
        .map_err(|f| f.iter().map(ToString::to_string).collect::<Vec<_>>())?;
    trial.seed = a.seed.unwrap_or(trial.seed);
    trial.directors = a.directors.unwrap_or(trial.directors);
    let own = std::env::current_exe().map_err(|e| vec![format!("this program: {e}")])?;
    let program = || match &a.director {
        Some(other) => std::process::Command::new(other),
        None => {
            let mut command = std::process::Command::new(&own);
            command.args(["lab", "director"]);
            command
        }
    };
    let report =
        fleet::run(&trial, &program, &a.out, |line| eprintln!("{line}")).map_err(|e| vec![e.to_string()])?;
    report.write(&a.out).map_err(|e| vec![format!("{}: {e}", a.out.display())])?;
    print!("{report}");
    println!("report, plot and logs: {}", a.out.display());
    Ok(if report.breaches().is_empty() { Verdict::Well } else { Verdict::Refused })
}
