//! Rows about the cost of lookups, the endpoint list and starts for directors and nodes.

use super::{LINK_TIME, PER_SECOND, PERCENT_OF_CORE, POOLS, RELAYS, SNAPSHOT_BYTES, STAR, Section};
use crate::model::CapacityModel;
use crate::report::row::{Row, calculated, format_three_digits, measured};

impl CapacityModel {
    pub(super) fn node_sections(&self) -> Vec<Section> {
        let (t, max_descriptors) = (&self.target, self.assumptions.descriptors);
        let (directors_per_zone, connections_per_node) =
            (t.directors / t.zones, (max_descriptors / 16.0).max(4.0));
        let lookups = t.lookups / (0.75 * t.nodes);
        let lookups_source = "target, three quarters of the nodes caches";
        let connections = |directors: f64| {
            [
                calculated("connections, one of each director", directors, "", "target")
                    .with_mechanism(POOLS)
                    .with_budget(max_descriptors),
                calculated("connections at most", directors * connections_per_node, "", "`links_a_node`")
                    .with_mechanism(POOLS)
                    .with_budget(max_descriptors),
            ]
        };
        let mut cache = vec![
            calculated("directors that send to it", directors_per_zone, "", "target")
                .with_mechanism("hash rings by zone"),
            calculated("lookups", lookups, PER_SECOND, lookups_source).with_mechanism("hash rings by zone"),
        ];
        cache.extend(connections(directors_per_zone));
        let mut parent = vec![
            calculated("directors that may send to it", t.directors, "", "target")
                .with_mechanism("one hash ring of all parents"),
        ];
        parent.extend(connections(t.directors));
        let command_line = vec![
            calculated("relays asked by `relay show`", t.machines, "", "target").with_mechanism(RELAYS),
            calculated("readers merged, 100 bytes each", 100.0 * t.directors, "B", "target")
                .with_mechanism(RELAYS),
        ];
        vec![("cache", cache), ("parent", parent), ("command line", command_line)]
    }

    pub(super) fn request_path_sections(&self) -> Vec<Section> {
        let (t, a) = (&self.target, &self.assumptions);
        let mean_rate = t.lookups / t.directors;
        let body_bytes_per_s = t.bits / t.directors / 8.0;
        let full_body_rate = body_bytes_per_s / a.body;
        let cpu_per_byte = self.slope("real-body-time") / 1024.0 / 1e4;
        let mut rows = Vec::new();
        for (name, rate) in [("mean", mean_rate), ("busiest", mean_rate * t.busiest)] {
            let row = |description: &str, unit, cost| {
                let description =
                    format!("{name}, {} lookups a second: {description}", format_three_digits(rate));
                calculated(description, self.predict(cost, rate), unit, cost)
            };
            rows.push(row("processor time", PERCENT_OF_CORE, "real-lookup-time").with_budget(100.0));
            rows.push(row("memory", "B", "real-lookup-memory"));
            let descriptors = row("descriptors, 8 clients and 9 nodes", "", "real-lookup-descriptors");
            rows.push(descriptors.with_budget(a.descriptors));
        }
        let connections = 0.25 * t.nodes + 0.75 * t.nodes / t.zones;
        let body_source = "target, `body`";
        let full_body_cpu =
            self.predict("real-lookup-time", full_body_rate) + body_bytes_per_s * cpu_per_byte;
        rows.extend([
            calculated(
                "connections, one to each parent and to the zone's caches",
                connections,
                "",
                "target, `links`",
            )
            .with_budget(a.descriptors / 2.0 - 16.0),
            calculated(
                "body traffic of a director, sent; as much is received",
                8.0 * body_bytes_per_s,
                "bit/s",
                "target",
            ),
            calculated("mean bytes of a lookup", body_bytes_per_s / mean_rate, "B", body_source)
                .with_budget(a.body),
            calculated(
                "body traffic at the mean rate if all bodies have the largest size",
                8.0 * mean_rate * a.body,
                "bit/s",
                body_source,
            ),
            calculated(
                "lookups of the largest body that carry the target's body traffic",
                full_body_rate,
                PER_SECOND,
                body_source,
            ),
            calculated(
                "processor time of these lookups, on loopback",
                full_body_cpu,
                PERCENT_OF_CORE,
                "real-lookup-time, real-body-time",
            )
            .with_budget(100.0),
        ]);
        vec![("request path", rows)]
    }

    pub(super) fn router_sections(&self) -> Vec<Section> {
        let t = &self.target;
        let slope_row_at =
            |description: &str, size, unit, name| self.slope_row(description, size, unit, name);
        let mut rows = Vec::new();
        for (call, name) in
            [("route", "module-route"), ("on_outcome", "module-after"), ("next_check", "module-patience")]
        {
            for nodes in [10.0, 100.0, t.nodes] {
                let micros = self.measured_or_predicted(name, nodes) / 1e3;
                rows.push(measured(format!("{call} with {nodes:.0} nodes"), Some(micros), "us", name));
            }
        }
        let purge_micros = self.predict("module-purge-known", self.active_purges());
        let purge_bytes = self.slope("module-purge-memory") * self.active_purges();
        let virtual_nodes = "virtual nodes on the ring of parents, a quarter of the nodes";
        rows.extend([
            slope_row_at(
                "a change of a parent on the hash ring of parents",
                t.nodes,
                "us",
                "module-change-parent",
            ),
            slope_row_at("a change of a cache of another zone", t.nodes, "us", "module-change-cache"),
            slope_row_at("loss of a zone, 8 changes in 8 events", t.nodes, "us", "module-zone-loss"),
            slope_row_at("loss of a zone, 8 changes in one event", t.nodes, "us", "module-zone-loss-at-once"),
            calculated("a purge, with all active purges known", purge_micros, "us", "module-purge-known"),
            slope_row_at("all purges", t.purges, PERCENT_OF_CORE, "module-purge-rate"),
            slope_row_at("ten times the purges", 10.0 * t.purges, PERCENT_OF_CORE, "module-purge-rate"),
            calculated(virtual_nodes, 256.0 * 0.25 * t.nodes, "", "target, `VIRTUAL_NODES`"),
            slope_row_at("memory, endpoint list and hash rings", t.nodes, "B", "module-memory"),
            calculated("memory of the active purges", purge_bytes, "B", "module-purge-memory"),
        ]);
        vec![("router", rows.into_iter().map(|row| row.with_mechanism("`src/`")).collect())]
    }

    pub(super) fn startup_sections(&self) -> Vec<Section> {
        let t = &self.target;
        let (snapshot_bytes, directors_per_region) = (self.snapshot_bytes(), t.directors / t.regions);
        let total_bytes = t.directors * snapshot_bytes;
        let mut sections = vec![
            (
                "one director starts",
                vec![sent_row("sent", snapshot_bytes), self.startup_cpu_row(self.retained_purges())],
            ),
            (
                "a region starts",
                vec![
                    sent_row("sent", directors_per_region * snapshot_bytes),
                    self.link_time_row("time, all at one relay", directors_per_region * snapshot_bytes)
                        .with_mechanism(RELAYS),
                ],
            ),
            (
                "all start at once",
                vec![
                    sent_row("sent", total_bytes),
                    self.link_time_row("time, from one source", total_bytes).with_mechanism(STAR),
                    self.link_time_row("time, from 13 relays", total_bytes / t.machines)
                        .with_mechanism(RELAYS),
                ],
            ),
            ("restarts in a day", vec![sent_row("sent", t.restarts_a_day * snapshot_bytes)]),
        ];
        sections.push(self.zone_loss_section());
        sections.extend(self.reconnect_sections());
        sections
    }

    fn zone_loss_section(&self) -> Section {
        let change_bytes = 8.0 * self.slope("feed-change-bytes");
        let apply_micros = 8.0 * self.slope("feed-change-time")
            + self.measured_or_predicted("module-zone-loss", self.target.nodes);
        (
            "a zone is lost",
            vec![
                calculated("sent to a director: 8 changes", change_bytes, "B", "feed-change-bytes")
                    .with_mechanism(RELAYS),
                calculated(
                    "read and applied by the router",
                    apply_micros,
                    "us",
                    "feed-change-time, module-zone-loss",
                ),
            ],
        )
    }

    /// Returns the sections about what directors receive after a partition between regions that lasted `cut_s` seconds.
    fn reconnect_sections(&self) -> [Section; 2] {
        let t = &self.target;
        let (snapshot_bytes, directors_per_region) = (self.snapshot_bytes(), t.directors / t.regions);
        let unsent_purges = t.purges * t.cut_s;
        let missed_bytes =
            unsent_purges * self.slope("feed-purge-bytes") + self.predict("feed-list-bytes", t.nodes);
        let bytes_source = "feed-purge-bytes, feed-list-bytes";
        [
            (
                "after the partition, star",
                vec![
                    calculated("purges not sent yet", unsent_purges, "", "target").with_mechanism(STAR),
                    calculated("sent, a director", missed_bytes, "B", bytes_source).with_mechanism(STAR),
                    calculated("sent, a region", directors_per_region * missed_bytes, "B", bytes_source)
                        .with_mechanism(STAR),
                    self.link_time_row("time, a region from one source", directors_per_region * missed_bytes)
                        .with_mechanism(STAR),
                    self.startup_cpu_row(unsent_purges).with_mechanism(STAR),
                ],
            ),
            (
                "after the partition, relays",
                vec![
                    calculated("purges sent", self.retained_purges(), "", "target x (binds-s + slack-s)")
                        .with_mechanism(RELAYS),
                    sent_row("sent, a director", snapshot_bytes),
                    sent_row("sent, a region", directors_per_region * snapshot_bytes),
                    self.link_time_row(
                        "time, a region from one relay",
                        directors_per_region * snapshot_bytes,
                    )
                    .with_mechanism(RELAYS),
                    self.startup_cpu_row(self.retained_purges()).with_mechanism(RELAYS),
                ],
            ),
        ]
    }

    /// Returns a row with the processor time in which a director that starts applies these purges.
    fn startup_cpu_row(&self, purges: f64) -> Row {
        let micros = 1e3 * self.predict("real-told-time", purges);
        calculated("processor time, a director", micros, "us", "real-told-time")
            .with_budget(1e6 * self.budget.purge_s)
    }

    /// Returns a row with the time in which the link of one control machine transfers these bytes.
    fn link_time_row(&self, description: &str, bytes: f64) -> Row {
        let micros = 8.0 * bytes / self.assumptions.machine_link * 1e6;
        calculated(description, micros, "us", LINK_TIME).with_budget(1e6 * self.budget.purge_s)
    }
}

/// Returns a row with the bytes of snapshots that are sent.
fn sent_row(description: &str, bytes: f64) -> Row {
    calculated(description, bytes, "B", SNAPSHOT_BYTES).with_mechanism(RELAYS)
}
