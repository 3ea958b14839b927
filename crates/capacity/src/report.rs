//! Writes the tables of docs/CAPACITY.md from the capacity model.

mod row;
mod sections;

use std::fmt::{Arguments, Write};

use row::{format_amount, format_three_digits};
use sections::Section;

use crate::cost::format_significant;
use crate::model::{CapacityModel, Slope};

/// The line of the page after which the tables begin.
pub const TABLES_BEGIN: &str = "<!-- capacity: begin -->";
/// The line of the page before which the tables end.
pub const TABLES_END: &str = "<!-- capacity: end -->";

/// The rows of the tables that need attention. Each is written as the section's name, a colon and the row's description.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Rows whose figure is larger than their budget.
    pub over_budget: Vec<String>,
    /// Rows whose figure has not been measured yet.
    pub not_measured: Vec<String>,
}

impl CapacityModel {
    /// Compares the figure of each row with its budget and returns the rows that need attention.
    pub fn verdicts(&self) -> Verdicts {
        let sections = self.sections().into_iter().flat_map(|(_, sections)| sections);
        let rows = sections.flat_map(|(section, rows)| rows.into_iter().map(move |row| (section, row)));
        let mut verdicts = Verdicts::default();
        for (section, row) in rows {
            let name = format!("{section}: {}", row.description);
            match (row.value, row.budget) {
                (None, _) => verdicts.not_measured.push(name),
                (Some(value), Some(budget)) if value > budget => verdicts.over_budget.push(name),
                _ => {}
            }
        }
        verdicts
    }

    /// Returns the Markdown between [`TABLES_BEGIN`] and [`TABLES_END`].
    pub fn tables(&self) -> String {
        let mut out = String::from(
            "What is measured names its run, listed below. Every other figure is calculated from the inputs that its row names.\n",
        );
        for (title, sections) in self.sections() {
            push_section(&mut out, title, sections);
        }
        self.push_slopes(&mut out);
        self.push_runs(&mut out);
        let Verdicts { over_budget, not_measured } = self.verdicts();
        let join_or_none = |names: &[String]| if names.is_empty() { "none".into() } else { names.join("; ") };
        push_line(&mut out, format_args!("\nOver budget: {}.\n", join_or_none(&over_budget)));
        push_line(&mut out, format_args!("Not measured yet: {}.", join_or_none(&not_measured)));
        out
    }

    fn push_slopes(&self, out: &mut String) {
        push_line(out, format_args!("\n### Slopes\n"));
        push_line(
            out,
            format_args!(
                "`sablecross cost-slopes --only NAME` measures a slope again, unless its row names another command.\n"
            ),
        );
        push_line(
            out,
            format_args!(
                "| name | unit over | slope | intercept | largest residual | bends | smallest and largest size | run |"
            ),
        );
        push_line(out, format_args!("| --- | --- | --- | --- | --- | --- | --- | --- |"));
        for slope in self.slope_names.iter().filter_map(|name| self.slopes.get(name)) {
            push_slope(out, slope);
        }
    }

    fn push_runs(&self, out: &mut String) {
        push_line(out, format_args!("\n### Runs\n"));
        push_line(out, format_args!("| name | what | figure | run | measured again by |"));
        push_line(out, format_args!("| --- | --- | --- | --- | --- |"));
        for figure in self.figures.values() {
            let value = figure.value.map_or("not measured yet".into(), |v| format_amount(v, &figure.unit));
            let run = figure.run.as_deref().unwrap_or("-");
            let (name, description, command) = (&figure.name, &figure.what, &figure.command);
            push_line(out, format_args!("| `{name}` | {description} | {value} | {run} | `{command}` |"));
        }
    }
}

fn push_line(out: &mut String, text: Arguments) {
    // Writing to a string does not fail.
    let _ = writeln!(out, "{text}");
}

fn push_section(out: &mut String, title: &str, sections: Vec<Section>) {
    push_line(out, format_args!("\n### {title}\n"));
    push_line(out, format_args!("| who, when | what | figure | from | carried by | margin to budget |"));
    push_line(out, format_args!("| --- | --- | --- | --- | --- | --- |"));
    let rows =
        sections.into_iter().flat_map(|(section, rows)| rows.into_iter().map(move |row| (section, row)));
    for (section, row) in rows {
        let value = row.value.map_or("-".into(), |v| format_amount(v, row.unit));
        let source = match (row.is_measured, row.value) {
            (true, None) => format!("waits for `{}`", row.source),
            (true, Some(_)) => format!("measured: `{}`", row.source),
            (false, _) => format!("arithmetic: {}", row.source),
        };
        let (description, mechanism, assessment) = (&row.description, row.mechanism, row.assessment());
        push_line(
            out,
            format_args!("| {section} | {description} | {value} | {source} | {mechanism} | {assessment} |"),
        );
    }
}

fn push_slope(out: &mut String, slope: &Slope) {
    let format_point = |point: Option<&(f64, f64)>| {
        point.map_or("-".into(), |(size, value)| {
            format!("{} at {}", format_significant(*value), format_three_digits(*size))
        })
    };
    let bend = if slope.bend > 0.0 { format!("at {}", format_three_digits(slope.bend)) } else { "no".into() };
    let command = slope.command.as_ref().map_or(String::new(), |c| format!("; `{c}`"));
    push_line(
        out,
        format_args!(
            "| `{}` | {} over {} | {} | {} | {:.0}% | {bend} | {}, {} | {}{command} |",
            slope.name,
            slope.unit,
            slope.over,
            format_significant(slope.slope),
            format_significant(slope.intercept),
            slope.worst,
            format_point(slope.points.first()),
            format_point(slope.points.last()),
            slope.run
        ),
    );
}

/// Returns the page with the tables between [`TABLES_BEGIN`] and [`TABLES_END`] replaced, or `None` if one of these lines
/// is missing or they are in the wrong order.
pub fn replace_tables(page: &str, tables: &str) -> Option<String> {
    let (before, rest) = page.split_once(TABLES_BEGIN)?;
    let (_, after) = rest.split_once(TABLES_END)?;
    Some(format!("{before}{TABLES_BEGIN}\n{tables}{TABLES_END}{after}"))
}
