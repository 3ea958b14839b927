//! What every report has: what must not have been found, files, curves.

use std::error::Error;
use std::fmt::Display;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;
use serde::Serialize;

pub trait TrialReport: Display + Serialize {
    /// What must not have been shown; empty when all is well.
    fn violations(&self) -> Vec<String>;

    fn title(&self) -> String;

    /// Curves over the seconds, by what they are named.
    fn charts(&self) -> Vec<Chart>;

    /// Writes report.json, report.txt and, where there are curves, plot.svg to a folder.
    fn write(&self, folder: &Path) -> Result<(), Box<dyn Error>> {
        std::fs::write(folder.join("report.json"), serde_json::to_string_pretty(self)?)?;
        std::fs::write(folder.join("report.txt"), self.to_string())?;
        let panels = self.charts();
        if panels.is_empty() {
            return Ok(());
        }
        let file = folder.join("plot.svg");
        let area = SVGBackend::new(&file, (900, 720)).into_drawing_area();
        area.fill(&WHITE)?;
        let area = area.titled(&self.title(), ("sans-serif", 20))?;
        for (part, panel) in area.split_evenly((panels.len(), 1)).iter().zip(&panels) {
            panel.draw(part)?;
        }
        area.present()?;
        Ok(())
    }
}

pub struct Chart {
    pub name: &'static str,
    pub curves: Vec<Vec<u64>>,
    /// A line across it.
    pub line: Option<u64>,
}

impl Chart {
    fn draw(&self, part: &DrawingArea<SVGBackend, Shift>) -> Result<(), Box<dyn Error>> {
        let curves = self.curves.iter();
        let most = curves.flatten().max().copied().unwrap_or(0).max(self.line.unwrap_or(0)) * 11 / 10 + 1;
        let length = self.curves.iter().map(Vec::len).max().unwrap_or(0).max(1);
        let mut chart = ChartBuilder::on(part)
            .caption(self.name, ("sans-serif", 14))
            .margin(4)
            .x_label_area_size(20)
            .y_label_area_size(48)
            .build_cartesian_2d(0..length, 0..most)?;
        chart.configure_mesh().y_labels(4).draw()?;
        for (i, curve) in self.curves.iter().enumerate() {
            chart.draw_series(LineSeries::new(curve.iter().copied().enumerate(), &Palette99::pick(i)))?;
        }
        if let Some(line) = self.line {
            chart.draw_series(LineSeries::new([(0, line), (length, line)], &RED))?;
        }
        Ok(())
    }
}
