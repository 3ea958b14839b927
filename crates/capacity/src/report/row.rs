//! One row of a table: its figure, the source of the figure, and the comparison with its budget.

/// One row of a table.
#[derive(Default)]
pub(in crate::report) struct Row {
    pub(in crate::report) description: String,
    pub(in crate::report) value: Option<f64>,
    pub(in crate::report) unit: &'static str,
    /// Names of the slopes, the figure or the limits from which the value comes.
    pub(in crate::report) source: &'static str,
    /// Whether the value was measured by a run; otherwise it is calculated.
    pub(in crate::report) is_measured: bool,
    /// The part of the system that carries this load.
    pub(in crate::report) mechanism: &'static str,
    pub(in crate::report) budget: Option<f64>,
}

/// Returns a row calculated from the slopes or limits that `source` names.
pub(in crate::report) fn calculated(
    description: impl Into<String>,
    value: f64,
    unit: &'static str,
    source: &'static str,
) -> Row {
    Row { description: description.into(), value: Some(value), unit, source, ..Row::default() }
}

/// Returns a row measured by the run that `source` names. A row without a value has not been measured yet.
pub(in crate::report) fn measured(
    description: impl Into<String>,
    value: Option<f64>,
    unit: &'static str,
    source: &'static str,
) -> Row {
    Row { description: description.into(), value, unit, source, is_measured: true, ..Row::default() }
}

impl Row {
    pub(in crate::report) fn with_mechanism(self, mechanism: &'static str) -> Row {
        Row { mechanism, ..self }
    }

    pub(in crate::report) fn with_budget(self, budget: f64) -> Row {
        Row { budget: Some(budget), ..self }
    }

    /// Compares the figure with the budget: how many times it fits into the budget, or that it exceeds it.
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

/// Formats a value with its unit, scaled to a suitable multiple of the unit.
pub(in crate::report) fn format_amount(value: f64, unit: &str) -> String {
    let scaled = |scales: &[(f64, &str)]| {
        let (factor, prefixed_unit) =
            scales.iter().rev().find(|(factor, _)| value.abs() >= *factor).unwrap_or(&scales[0]);
        format!("{} {prefixed_unit}", format_three_digits(value / factor))
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
