//! A measured cost, and the functions that measure time and memory.

use std::fmt;
use std::time::Instant;

use serde::Serialize;

use crate::fit::{LinearFit, Point};

/// How the values of a cost are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MeasurementKind {
    /// Counted: numbers of bytes, calls or open file descriptors.
    Counted,
    /// Timed: durations or processor time; medians of rounds, except for lookups and bodies, which are measured once.
    Timed,
    /// Resident memory: of a director process, or the growth of a process that creates many instances, divided by their
    /// number.
    Resident,
}

/// A cost measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// The name that `--only` takes and docs/capacity.scm lists.
    pub name: &'static str,
    /// Description of what is measured.
    #[serde(rename = "what")]
    pub description: &'static str,
    /// What the size counts.
    #[serde(rename = "over")]
    pub size_unit: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// How the values are measured.
    #[serde(rename = "how")]
    pub kind: MeasurementKind,
    /// The measured values by size.
    pub points: Vec<Point>,
}

impl Cost {
    /// Fits a line through the points; [`LinearFit::least_squares`] says when it returns `None`.
    pub fn fit(&self) -> Option<LinearFit> {
        LinearFit::least_squares(&self.points)
    }

    /// Formats the cost as a form of docs/capacity.scm, up to where the caller appends `(run . ...)` and the closing
    /// parenthesis.
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
        let kind = format!("{:?}", self.kind).to_lowercase();
        writeln!(f, "{}: {} ({kind}, {} over {})", self.name, self.description, self.unit, self.size_unit)?;
        for p in &self.points {
            writeln!(f, "  {:>9} {:>14}", p.size, format_significant(p.value))?;
        }
        let Some(line) = self.fit() else { return writeln!(f, "  no line can be fitted") };
        write!(
            f,
            "  slope {} intercept {}",
            format_significant(line.slope),
            format_significant(line.intercept)
        )?;
        write!(
            f,
            " largest residual {:.0}% ratio of last to first slope {:.2}",
            100.0 * line.max_relative_residual,
            line.slope_ratio
        )?;
        match line.bend_at {
            Some(size) => writeln!(f, " bends at {size}"),
            None => writeln!(f, " no bend"),
        }
    }
}

/// Formats a number with four significant digits, or as an integer from a thousand on.
pub(crate) fn format_significant(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let digits = (3 - value.abs().log10().floor() as i32).clamp(0, 9) as usize;
    format!("{value:.digits$}")
}

/// Measures each size once a round and returns the median of the rounds for each size. All sizes take turns, so that a
/// longer disturbance of the machine affects all of them alike.
pub(crate) fn measure_interleaved<T>(
    sizes: &mut [(f64, T)],
    rounds: usize,
    mut measure_once: impl FnMut(&mut T) -> f64,
) -> Vec<Point> {
    let mut samples = vec![Vec::with_capacity(rounds); sizes.len()];
    for _ in 0..rounds {
        for ((_, state), samples) in sizes.iter_mut().zip(&mut samples) {
            samples.push(measure_once(state));
        }
    }
    sizes
        .iter()
        .zip(samples)
        .map(|((size, _), samples)| Point { size: *size, value: median(samples) })
        .collect()
}

/// Returns the median: the upper of the two middle values if the number of samples is even, NaN if there are none.
pub(crate) fn median(mut samples: Vec<f64>) -> f64 {
    samples.sort_by(f64::total_cmp);
    samples.get(samples.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Runs `work` and returns its duration in microseconds and its result.
pub(crate) fn time_micros<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let started = Instant::now();
    let result = work();
    (started.elapsed().as_nanos() as f64 / 1e3, result)
}

/// Returns the resident memory of this process in bytes, as Linux reports it.
pub(crate) fn resident_bytes() -> Option<f64> {
    resident_bytes_of("self")
}

/// Returns the resident memory of a process in bytes; `process` is its id, or `self`.
pub(crate) fn resident_bytes_of(process: &str) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kilobytes: f64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(kilobytes * 1024.0)
}

/// Returns the bytes of one item: the growth of this process's resident memory while `count` items are made, divided by
/// `count`.
pub(crate) fn resident_growth_per_item<T>(count: usize, make_item: impl Fn(usize) -> T) -> f64 {
    let before = resident_bytes().unwrap_or(f64::NAN);
    let items: Vec<T> = (0..count).map(make_item).collect();
    let after = resident_bytes().unwrap_or(f64::NAN);
    std::hint::black_box(&items);
    (after - before) / count as f64
}
