//! The sections and rows of each table.

mod control;
mod workload;

use super::row::{Row, calculated, measured};
use crate::model::CapacityModel;

const RELAYS: &str = "relays (`crates/relay`)";
const STAR: &str = "none: one source, a star";
const POOLS: &str = "connection pools (`wire/node_pool.rs`)";
const COORDINATION: &str = "coordination (`crates/coordination`) among the 13";
const ALL_MEMBERS: &str = "none: all directors as members";

/// The role or event that the rows are about, and the rows.
pub(super) type Section = (&'static str, Vec<Row>);

const PERCENT_OF_CORE: &str = "% of a core";
const PER_SECOND: &str = "a second";
const FEED_BYTES: &str = "feed-purge-bytes, feed-change-bytes, heads";
const SNAPSHOT_BYTES: &str = "feed-list-bytes, feed-purge-bytes, binds-s, slack-s";
const LINK_TIME: &str = "the bytes divided by machine-link";

impl CapacityModel {
    /// Returns a row with the measured figure of this name.
    pub(super) fn figure_row(&self, description: &str, unit: &'static str, name: &'static str) -> Row {
        measured(description, self.figure(name), unit, name)
    }

    /// Returns a row with the value measured at this size, or the value of the line if this size was not measured.
    pub(super) fn slope_row(
        &self,
        description: impl Into<String>,
        size: f64,
        unit: &'static str,
        name: &'static str,
    ) -> Row {
        let points = self.slopes.get(name).map(|s| &s.points[..]).unwrap_or_default();
        let is_measured = points.iter().any(|p| p.0 == size);
        Row { is_measured, ..calculated(description, self.measured_or_predicted(name, size), unit, name) }
    }

    pub(in crate::report) fn sections(&self) -> Vec<(&'static str, Vec<Section>)> {
        vec![
            ("A director's control", self.director_sections()),
            ("Voters and lease holders", self.voter_sections()),
            ("Source and relays", self.source_sections()),
            ("Time until applied everywhere", self.propagation_sections()),
            ("Load of directors on cache nodes and parents; the command line", self.node_sections()),
            ("The request path", self.request_path_sections()),
            ("The router with all nodes listed", self.router_sections()),
            ("Starts, failures, and reconnection after a partition", self.startup_sections()),
        ]
    }
}
