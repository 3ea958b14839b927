//! Common parts of the reports of all trials: violations, report files and charts.

use std::fmt::Display;
use std::io;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;
use serde::Serialize;
use thiserror::Error;

/// The reason why a report could not be written.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file can't be written.
    #[error("{file}: {why}")]
    File {
        /// The name of the file in the report's folder.
        file: &'static str,
        /// The system's error.
        why: io::Error,
    },
    /// The report can't be encoded as JSON.
    #[error("report.json: {0}")]
    Json(#[from] serde_json::Error),
    /// The charts can't be drawn.
    #[error("plot.svg: {0}")]
    Plot(String),
}

fn plot_error(error: impl Display) -> ReportError {
    ReportError::Plot(error.to_string())
}

/// The result of a trial. Its `Display` form is the content of report.txt.
pub trait TrialReport: Display + Serialize {
    /// Descriptions of all violated requirements. Empty if there are none.
    fn violations(&self) -> Vec<String>;

    /// The heading of the charts.
    fn title(&self) -> String;

    /// Charts over the seconds of the trial.
    fn charts(&self) -> Vec<Chart>;

    /// Writes report.json, report.txt and, if there are charts, plot.svg to a folder.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written or the charts can't be drawn.
    fn write(&self, folder: &Path) -> Result<(), ReportError> {
        write_file(folder, "report.json", &serde_json::to_string_pretty(self)?)?;
        write_file(folder, "report.txt", &self.to_string())?;
        let charts = self.charts();
        if charts.is_empty() {
            return Ok(());
        }
        let file = folder.join("plot.svg");
        let area = SVGBackend::new(&file, (900, 720)).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let area = area.titled(&self.title(), ("sans-serif", 20)).map_err(plot_error)?;
        for (part, chart) in area.split_evenly((charts.len(), 1)).iter().zip(&charts) {
            chart.draw(part)?;
        }
        area.present().map_err(plot_error)
    }
}

fn write_file(folder: &Path, file: &'static str, text: &str) -> Result<(), ReportError> {
    std::fs::write(folder.join(file), text).map_err(|why| ReportError::File { file, why })
}

/// A chart of one or more curves over the seconds of a trial.
pub struct Chart {
    /// The caption.
    pub name: &'static str,
    /// The values of each curve by second.
    pub curves: Vec<Vec<u64>>,
    /// The value of a horizontal line, such as a limit.
    pub limit_line: Option<u64>,
}

impl Chart {
    fn draw(&self, area: &DrawingArea<SVGBackend, Shift>) -> Result<(), ReportError> {
        let highest =
            self.curves.iter().flatten().max().copied().unwrap_or(0).max(self.limit_line.unwrap_or(0));
        let top = highest * 11 / 10 + 1;
        let length = self.curves.iter().map(Vec::len).max().unwrap_or(0).max(1);
        let mut chart = ChartBuilder::on(area)
            .caption(self.name, ("sans-serif", 14))
            .margin(4)
            .x_label_area_size(20)
            .y_label_area_size(48)
            .build_cartesian_2d(0..length, 0..top)
            .map_err(plot_error)?;
        chart.configure_mesh().y_labels(4).draw().map_err(plot_error)?;
        for (i, curve) in self.curves.iter().enumerate() {
            let points = curve.iter().copied().enumerate();
            chart.draw_series(LineSeries::new(points, &Palette99::pick(i))).map_err(plot_error)?;
        }
        if let Some(line) = self.limit_line {
            let points = [(0, line), (length, line)];
            chart.draw_series(LineSeries::new(points, &RED)).map_err(plot_error)?;
        }
        Ok(())
    }
}
