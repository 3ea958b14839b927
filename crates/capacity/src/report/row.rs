//! One row of a table: where its figure comes from, and how it compares with its budget.

/// One row of a table.
#[derive(Default)]
pub(in crate::report) struct Row {
    pub(in crate::report) description: String,
    pub(in crate::report) value: Option<f64>,
    pub(in crate::report) unit: &'static str,
    /// The slopes, the figure, or the limits from which the value comes.
    pub(in crate::report) source: &'static str,
    /// Whether the value comes from a run and not from arithmetic.
    pub(in crate::report) is_measured: bool,
    /// What carries this load.
    pub(in crate::report) mechanism: &'static str,
    pub(in crate::report) budget: Option<f64>,
}

/// A row computed from the slopes or limits that `from` names.
pub(in crate::report) fn calculated(
    what: impl Into<String>,
    value: f64,
    unit: &'static str,
    from: &'static str,
) -> Row {
    Row { description: what.into(), value: Some(value), unit, source: from, ..Row::default() }
}

/// A row measured by the run that `from` names; without a value it waits for that run.
pub(in crate::report) fn measured(
    what: impl Into<String>,
    value: Option<f64>,
    unit: &'static str,
    from: &'static str,
) -> Row {
    Row { description: what.into(), value, unit, source: from, is_measured: true, ..Row::default() }
}

impl Row {
    pub(in crate::report) fn with_mechanism(self, mechanism: &'static str) -> Row {
        Row { mechanism, ..self }
    }

    pub(in crate::report) fn with_budget(self, budget: f64) -> Row {
        Row { budget: Some(budget), ..self }
    }

    pub(in crate::report) fn assessment(&self) -> String {
        match (self.value, self.budget) {
            (None, _) => "not measured yet".into(),
            (Some(_), None) => String::new(),
            (Some(v), Some(b)) if v > b => {
                format!("**not carried**: {} of {}", format_amount(v, self.unit), format_amount(b, self.unit))
            }
            (Some(v), Some(b)) => {
                format!("{} times, of {}", format_three_digits(b / v), format_amount(b, self.unit))
            }
        }
    }
}

/// Formats a value with a unit of suitable scale.
pub(in crate::report) fn format_amount(value: f64, unit: &str) -> String {
    let scaled = |steps: &[(f64, &str)]| {
        let (by, word) = steps.iter().rev().find(|(by, _)| value.abs() >= *by).unwrap_or(&steps[0]);
        format!("{} {word}", format_three_digits(value / by))
    };
    match unit {
        "B" => scaled(&[(1.0, "B"), (1e3, "KB"), (1e6, "MB"), (1e9, "GB")]),
        "B/s" => scaled(&[(1.0, "B/s"), (1e3, "KB/s"), (1e6, "MB/s"), (1e9, "GB/s")]),
        "bit/s" => scaled(&[(1.0, "bit/s"), (1e6, "Mbit/s"), (1e9, "Gbit/s"), (1e12, "Tbit/s")]),
        "us" => scaled(&[(0.001, "ns"), (1.0, "us"), (1e3, "ms"), (1e6, "s")]),
        "" => format_three_digits(value),
        _ => format!("{} {unit}", format_three_digits(value)),
    }
}

/// Formats a number with three significant digits, or as an integer with separators from a thousand on.
pub(in crate::report) fn format_three_digits(value: f64) -> String {
    if value.abs() < 1_000.0 {
        let is_integer = value.fract() == 0.0;
        let digits = if is_integer { 0 } else { (2 - value.abs().log10().floor() as i32).clamp(0, 6) };
        return format!("{value:.*}", digits as usize);
    }
    let digits = format!("{:.0}", value.abs());
    let mut out = String::from(if value < 0.0 { "-" } else { "" });
    for (n, digit) in digits.chars().enumerate() {
        if n > 0 && (digits.len() - n).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    out
}
