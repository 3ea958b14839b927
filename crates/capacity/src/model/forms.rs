//! The forms of the settings file, with the bounds of their values.

use garde::Validate;
use serde::Deserialize;

#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) enum Form {
    Target(#[garde(dive)] Target),
    Budget(#[garde(dive)] Budget),
    Assumed(#[garde(dive)] Assumptions),
    Slope(#[garde(dive)] Slope),
    Figure(#[garde(dive)] Figure),
}

/// The size of the installation that the system has to support.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Target {
    /// Number of directors.
    #[garde(range(min = 1.0, max = 1e6))]
    pub directors: f64,
    /// Number of cache nodes and parents.
    #[garde(range(min = 1.0, max = 1e6))]
    pub nodes: f64,
    /// Number of regions.
    #[garde(range(min = 1.0, max = 1e4))]
    pub regions: f64,
    /// Number of zones.
    #[garde(range(min = 1.0, max = 1e4))]
    pub zones: f64,
    /// Number of machines set aside for control processes, one relay on each.
    #[garde(range(min = 1.0, max = 1e4))]
    pub machines: f64,
    /// Lookups a second at the peak, of all directors.
    #[garde(range(min = 1.0, max = 1e9))]
    pub lookups: f64,
    /// Load of the busiest director as a multiple of the mean.
    #[garde(range(min = 1.0, max = 100.0))]
    pub busiest: f64,
    /// Bits of response bodies a second at the peak, of all directors.
    #[garde(range(min = 1.0, max = 1e15))]
    pub bits: f64,
    /// Purges a second.
    #[garde(range(min = 0.01, max = 1e6))]
    pub purges: f64,
    /// Changes of the endpoint list a day.
    #[garde(range(min = 0.01, max = 1e9))]
    pub changes_a_day: f64,
    /// Restarts of directors a day.
    #[garde(range(min = 0.01, max = 1e6))]
    pub restarts_a_day: f64,
    /// Seconds for which regions are partitioned from each other.
    #[garde(range(min = 1.0, max = 1e6))]
    pub cut_s: f64,
}

/// The resources that the control plane may use, and the time within which purges and changes have to be applied.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Budget {
    /// Processor time of the control plane in a director, in percent of a core.
    #[garde(range(min = 0.01, max = 1e4))]
    pub core: f64,
    /// Memory of the control plane in a director, in megabytes.
    #[garde(range(min = 1.0, max = 1e6))]
    pub memory_mb: f64,
    /// Bytes a second of the control plane, to and from a director.
    #[garde(range(min = 1.0, max = 1e9))]
    pub bytes: f64,
    /// Processor time of the control process on a machine set aside for the control plane, in percent of a core.
    #[garde(range(min = 1.0, max = 1e4))]
    pub machine_core: f64,
    /// Seconds after which a purge has to be applied everywhere.
    #[garde(range(min = 0.1, max = 1e4))]
    pub purge_s: f64,
    /// Seconds after which a change has to be applied everywhere.
    #[garde(range(min = 0.1, max = 1e4))]
    pub change_s: f64,
}

/// The values that are assumed and not measured: sizes of protocol headers, timers and limits.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Assumptions {
    /// Bytes of the IPv4 and TCP headers of a packet, with TCP time stamps. Each packet of events is acknowledged by a
    /// packet without payload.
    #[garde(range(min = 20.0, max = 200.0))]
    pub head: f64,
    /// Bytes of a comment that keeps an event stream alive.
    #[garde(range(min = 2.0, max = 1e3))]
    pub comment: f64,
    /// Bytes of the head of an HTTP request; the head of its response is taken to be as long.
    #[garde(range(min = 20.0, max = 1e4))]
    pub call: f64,
    /// Number of packets that open and close a connection.
    #[garde(range(min = 6.0, max = 20.0))]
    pub connection: f64,
    /// Milliseconds between two batches of events.
    #[garde(range(min = 1.0, max = 1e5))]
    pub batch_ms: f64,
    /// Mean milliseconds until a stream of a relay ends and its subscriber calls again.
    #[garde(range(min = 1.0, max = 1e6))]
    pub ack_ms: f64,
    /// Seconds for which a purge affects decisions.
    #[garde(range(min = 1.0, max = 1e5))]
    pub binds_s: f64,
    /// Maximum further seconds for which a relay keeps a purge: 10 s for clock differences and delivery, and up to 10 s
    /// until its log is compacted.
    #[garde(range(min = 0.0, max = 1e4))]
    pub slack_s: f64,
    /// Capacity of the network link of one control machine, in bits a second.
    #[garde(range(min = 1e6, max = 1e12))]
    pub machine_link: f64,
    /// Limit of file descriptors of a director, and of a node.
    #[garde(range(min = 16.0, max = 1e6))]
    pub descriptors: f64,
    /// Limit of connections of a relay.
    #[garde(range(min = 16.0, max = 1e6))]
    pub connections: f64,
    /// Bytes of the largest response body.
    #[garde(range(min = 1.0, max = 1e9))]
    pub body: f64,
}

/// A cost that was measured at several sizes. `sablecross cost-slopes --only NAME` measures it again, unless `command` names
/// another command.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Slope {
    /// Name of the cost, as `--only` takes it.
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    /// Growth of the cost for each unit of size.
    #[garde(skip)]
    pub slope: f64,
    /// Cost at size zero.
    #[garde(skip)]
    pub intercept: f64,
    /// Largest residual, in percent of the value that was measured there.
    #[garde(skip)]
    pub worst: f64,
    /// The first size at which the cost exceeds the line through the smaller half of the sizes by more than a quarter; 0
    /// if there is none.
    #[garde(skip)]
    #[serde(default)]
    pub bend: f64,
    /// Unit of the cost.
    #[garde(length(min = 1))]
    pub unit: String,
    /// Unit of the size, for example nodes.
    #[garde(length(min = 1))]
    pub over: String,
    /// Pairs of a size and the value measured at it.
    #[garde(length(min = 3))]
    pub points: Vec<(f64, f64)>,
    /// Date and time of the run.
    #[garde(length(min = 1))]
    pub run: String,
    /// The command that measures the cost, if it is not `sablecross cost-slopes`.
    #[garde(skip)]
    #[serde(default)]
    pub command: Option<String>,
}

/// A figure of one run. A figure without a value has not been measured yet.
#[derive(Clone, Debug, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Figure {
    /// Name of the figure.
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    /// Description of what is measured.
    #[garde(length(min = 1))]
    pub what: String,
    /// Unit of the value.
    #[garde(length(min = 1))]
    pub unit: String,
    /// The measured value.
    #[garde(skip)]
    #[serde(default)]
    pub value: Option<f64>,
    /// Date and time of the run.
    #[garde(skip)]
    #[serde(default)]
    pub run: Option<String>,
    /// The command that measures the figure.
    #[garde(length(min = 1))]
    pub command: String,
}
