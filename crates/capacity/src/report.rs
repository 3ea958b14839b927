//! The tables of docs/CAPACITY.md, computed from the capacity model.

mod row;
mod sections;

use std::fmt::{Arguments, Write};

use row::{format_amount, format_three_digits};
use sections::Section;

use crate::cost::format_significant;
use crate::model::{CapacityModel, Slope};

/// The mark ahead of the tables of the page.
pub const TABLES_BEGIN: &str = "<!-- capacity: begin -->";
/// The mark behind the tables of the page.
pub const TABLES_END: &str = "<!-- capacity: end -->";

/// The rows of the tables that need attention, each as "who: what".
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Rows whose figure is larger than their budget.
    pub over_budget: Vec<String>,
    /// Rows that wait for a run.
    pub not_measured: Vec<String>,
}

impl CapacityModel {
    /// Compares each row with its budget.
    pub fn verdicts(&self) -> Verdicts {
        let parts = self.sections().into_iter().flat_map(|(_, parts)| parts);
        let all = parts.flat_map(|(who, rows)| rows.into_iter().map(move |row| (who, row)));
        let mut verdicts = Verdicts::default();
        for (who, row) in all {
            let line = format!("{who}: {}", row.description);
            match (row.value, row.budget) {
                (None, _) => verdicts.not_measured.push(line),
                (Some(value), Some(budget)) if value > budget => verdicts.over_budget.push(line),
                _ => {}
            }
        }
        verdicts
    }

    /// Formats the Markdown that stands between the marks of the page.
    pub fn tables(&self) -> String {
        let mut out = String::from(
            "What is measured names its run, below; all else is arithmetic from what it names.\n",
        );
        for (title, parts) in self.sections() {
            push_section(&mut out, title, parts);
        }
        self.push_slopes(&mut out);
        self.push_runs(&mut out);
        let Verdicts { over_budget, not_measured } = self.verdicts();
        let list = |all: &[String]| if all.is_empty() { "none".into() } else { all.join("; ") };
        push_line(&mut out, format_args!("\nPast their budget: {}.\n", list(&over_budget)));
        push_line(&mut out, format_args!("Not measured yet: {}.", list(&not_measured)));
        out
    }

    fn push_slopes(&self, out: &mut String) {
        push_line(out, format_args!("\n### Slopes\n"));
        push_line(
            out,
            format_args!(
                "`sablecross slopes --only NAME` measures one again, unless another command is named.\n"
            ),
        );
        push_line(
            out,
            format_args!(
                "| name | unit over | slope | intercept | worst residual | bends | from, to | run |"
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
            let (name, what, command) = (&figure.name, &figure.what, &figure.command);
            push_line(out, format_args!("| `{name}` | {what} | {value} | {run} | `{command}` |"));
        }
    }
}

fn push_line(out: &mut String, text: Arguments) {
    // Writing to memory does not fail.
    let _ = writeln!(out, "{text}");
}

fn push_section(out: &mut String, title: &str, parts: Vec<Section>) {
    push_line(out, format_args!("\n### {title}\n"));
    push_line(out, format_args!("| who, when | what | figure | from | carried by | margin to budget |"));
    push_line(out, format_args!("| --- | --- | --- | --- | --- | --- |"));
    let rows = parts.into_iter().flat_map(|(who, rows)| rows.into_iter().map(move |row| (who, row)));
    for (who, row) in rows {
        let value = row.value.map_or("-".into(), |v| format_amount(v, row.unit));
        let source = match (row.is_measured, row.value) {
            (true, None) => format!("waits for `{}`", row.source),
            (true, Some(_)) => format!("measured: `{}`", row.source),
            (false, _) => format!("arithmetic: {}", row.source),
        };
        let (what, by, assessment) = (&row.description, row.mechanism, row.assessment());
        push_line(out, format_args!("| {who} | {what} | {value} | {source} | {by} | {assessment} |"));
    }
}

fn push_slope(out: &mut String, slope: &Slope) {
    let end = |point: Option<&(f64, f64)>| {
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
            end(slope.points.first()),
            end(slope.points.last()),
            slope.run
        ),
    );
}

/// Returns the page with the tables between its marks replaced, or `None` if the marks are missing or in the wrong
/// order.
pub fn replace_tables(page: &str, tables: &str) -> Option<String> {
    let (before, rest) = page.split_once(TABLES_BEGIN)?;
    let (_, after) = rest.split_once(TABLES_END)?;
    Some(format!("{before}{TABLES_BEGIN}\n{tables}{TABLES_END}{after}"))
}
