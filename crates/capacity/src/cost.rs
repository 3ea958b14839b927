//! One cost over its sizes, and how it is taken.

use std::fmt;
use std::time::Instant;

use serde::Serialize;

use crate::fit::{LinearFit, Point};

/// How the values came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MeasurementKind {
    /// The same in each run.
    Counted,
    /// The median of rounds in which all sizes take turns.
    Timed,
    /// Resident memory of a process that holds many of the thing, divided by how many.
    Resident,
}

#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    pub name: &'static str,
    #[serde(rename = "what")]
    pub description: &'static str,
    #[serde(rename = "over")]
    pub size_unit: &'static str,
    pub unit: &'static str,
    #[serde(rename = "how")]
    pub kind: MeasurementKind,
    pub points: Vec<Point>,
}

impl Cost {
    pub fn fit(&self) -> Option<LinearFit> {
        LinearFit::least_squares(&self.points)
    }

    /// The form of the sheet, but for its run and its end.
    pub fn to_form(&self, line: &LinearFit) -> String {
        let points: Vec<String> =
            self.points.iter().map(|p| format!("({} {})", p.size, format_significant(p.value))).collect();
        let bend = line.bend_at.map_or(String::new(), |size| format!(" (bend . {size})"));
        format!(
            "(slope (name . {:?}) (unit . {:?}) (over . {:?})\n  (slope . {}) (intercept . {}) \
             (worst . {:.1}){bend}\n  (points {})\n ",
            self.name,
            self.unit,
            self.size_unit,
            format_significant(line.slope),
            format_significant(line.intercept),
            100.0 * line.max_relative_residual,
            points.join(" ")
        )
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let how = format!("{:?}", self.kind).to_lowercase();
        writeln!(f, "{}: {} ({how}, {} over {})", self.name, self.description, self.unit, self.size_unit)?;
        for p in &self.points {
            writeln!(f, "  {:>9} {:>14}", p.size, format_significant(p.value))?;
        }
        let Some(line) = self.fit() else { return writeln!(f, "  no line") };
        write!(
            f,
            "  slope {} intercept {}",
            format_significant(line.slope),
            format_significant(line.intercept)
        )?;
        write!(
            f,
            " worst residual {:.0}% last slope {:.2} of the first",
            100.0 * line.max_relative_residual,
            line.slope_ratio
        )?;
        match line.bend_at {
            Some(size) => writeln!(f, " bends at {size}"),
            None => writeln!(f, " no bend"),
        }
    }
}

/// Four digits that count.
pub fn format_significant(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let digits = (3 - value.abs().log10().floor() as i32).clamp(0, 9) as usize;
    format!("{value:.digits$}")
}

/// Takes all sizes in turn, round after round, so that what slows the machine for a while slows all alike:
/// the median of each.
pub fn measure_interleaved<T>(
    sizes: &mut [(f64, T)],
    rounds: usize,
    mut take: impl FnMut(&mut T) -> f64,
) -> Vec<Point> {
    let mut samples = vec![Vec::with_capacity(rounds); sizes.len()];
    for _ in 0..rounds {
        for ((_, at), samples) in sizes.iter_mut().zip(&mut samples) {
            samples.push(take(at));
        }
    }
    sizes
        .iter()
        .zip(samples)
        .map(|((size, _), samples)| Point { size: *size, value: median(samples) })
        .collect()
}

pub fn median(mut samples: Vec<f64>) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples.get(samples.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Microseconds that it took, and what it gave.
pub fn time_micros<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let started = Instant::now();
    let result = work();
    (started.elapsed().as_nanos() as f64 / 1e3, result)
}

/// Bytes of this process that lie in memory, as Linux says.
pub fn resident_bytes() -> Option<f64> {
    resident_bytes_of("self")
}

/// The same of another one, by its number.
pub fn resident_bytes_of(process: &str) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kilobytes: f64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(kilobytes * 1024.0)
}

/// What one of them takes: the growth of this process while so many are made.
pub fn resident_growth_per_item<T>(many: usize, make: impl Fn(usize) -> T) -> f64 {
    let before = resident_bytes().unwrap_or(f64::NAN);
    let all: Vec<T> = (0..many).map(make).collect();
    let after = resident_bytes().unwrap_or(f64::NAN);
    std::hint::black_box(&all);
    (after - before) / many as f64
}
