//! The rows of each table that the model gives.

mod control;
mod workload;

use super::row::{Row, calculated, measured};
use crate::model::CapacityModel;

const RELAYS: &str = "relays (`crates/relay`)";
const STAR: &str = "none: one source, a star";
const POOLS: &str = "connection pools (`wire/node_pool.rs`)";
const COORDINATION: &str = "coordination (`crates/coordination`) among the 13";
const ALL_MEMBERS: &str = "none: all directors as members";

/// Whom or when the rows are about, and the rows.
pub(super) type Section = (&'static str, Vec<Row>);

const PERCENT_OF_CORE: &str = "% of a core";
const PER_SECOND: &str = "a second";
const FEED_BYTES: &str = "feed-purge-bytes, feed-change-bytes, heads";
const BASE_BYTES: &str = "feed-list-bytes, feed-purge-bytes, binds-s, slack-s";
const LINK_TIME: &str = "the bytes over machine-link";

impl CapacityModel {
    pub(super) fn figure_row(&self, what: &str, unit: &'static str, name: &'static str) -> Row {
        measured(what, self.figure(name), unit, name)
    }

    /// A row with the value measured at this size, or else the one by the line.
    pub(super) fn slope_row(
        &self,
        what: impl Into<String>,
        size: f64,
        unit: &'static str,
        name: &'static str,
    ) -> Row {
        let points = self.slopes.get(name).map(|s| &s.points[..]).unwrap_or_default();
        let measured = points.iter().any(|p| p.0 == size);
        Row { is_measured: measured, ..calculated(what, self.measured_or_predicted(name, size), unit, name) }
    }

    pub(in crate::report) fn sections(&self) -> Vec<(&'static str, Vec<Section>)> {
        vec![
            ("A director's control", self.director_sections()),
            ("Voters and lease holders", self.voter_sections()),
            ("Source and relays", self.source_sections()),
            ("Until applied everywhere", self.propagation_sections()),
            ("Cache nodes and parents as far as directors cause it; the command line", self.node_sections()),
            ("The ordinary path", self.request_path_sections()),
            ("The router with all nodes listed", self.router_sections()),
            ("At starts, at failures, after the hour", self.startup_sections()),
        ]
    }
}
