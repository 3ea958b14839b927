//! What lookups, the node list and starts cost directors and nodes.

use super::{BASE_BYTES, LINK_TIME, PER_SECOND, PERCENT_OF_CORE, POOLS, RELAYS, STAR, Section};
use crate::model::CapacityModel;
use crate::report::row::{Row, calculated, format_three_digits, measured};

impl CapacityModel {
    pub(super) fn node_sections(&self) -> Vec<Section> {
        let (t, most) = (&self.target, self.assumptions.descriptors);
        let (zone, links) = (t.directors / t.zones, (most / 16.0).max(4.0));
        let lookups = t.lookups / (0.75 * t.nodes);
        let quarters = "target, three quarters of the nodes caches";
        let connections = |directors: f64| {
            [
                calculated("connections, one of each director", directors, "", "target")
                    .with_mechanism(POOLS)
                    .with_budget(most),
                calculated("connections at most", directors * links, "", "`links_a_node`")
                    .with_mechanism(POOLS)
                    .with_budget(most),
            ]
        };
        let mut cache = vec![
            calculated("directors that send to it", zone, "", "target").with_mechanism("rings by zone"),
            calculated("lookups", lookups, PER_SECOND, quarters).with_mechanism("rings by zone"),
        ];
        cache.extend(connections(zone));
        let mut parent = vec![
            calculated("directors that may send to it", t.directors, "", "target")
                .with_mechanism("one ring of all"),
        ];
        parent.extend(connections(t.directors));
        let line = vec![
            calculated("relays asked by `relay show`", t.machines, "", "target").with_mechanism(RELAYS),
            calculated("readers merged, 100 bytes each", 100.0 * t.directors, "B", "target")
                .with_mechanism(RELAYS),
        ];
        vec![("cache", cache), ("parent", parent), ("command line", line)]
    }

    pub(super) fn request_path_sections(&self) -> Vec<Section> {
        let (t, a) = (&self.target, &self.assumptions);
        let mean = t.lookups / t.directors;
        let bytes = t.bits / t.directors / 8.0;
        let full = bytes / a.body;
        let bodies = self.slope("real-body-time") / 1024.0 / 1e4;
        let mut rows = Vec::new();
        for (name, rate) in [("mean", mean), ("busiest", mean * t.busiest)] {
            let row = |what: &str, unit, cost| {
                let what = format!("{name}, {} lookups a second: {what}", format_three_digits(rate));
                calculated(what, self.predict(cost, rate), unit, cost)
            };
            rows.push(row("processor", PERCENT_OF_CORE, "real-lookup-time").with_budget(100.0));
            rows.push(row("memory", "B", "real-lookup-memory"));
            let open = row("descriptors, 8 clients and 9 nodes", "", "real-lookup-descriptors");
            rows.push(open.with_budget(a.descriptors));
        }
        let ways = 0.25 * t.nodes + 0.75 * t.nodes / t.zones;
        let limits = "target, `body`";
        let passing = self.predict("real-lookup-time", full) + bytes * bodies;
        rows.extend([
            calculated(
                "connections, one to each parent and to the zone's caches",
                ways,
                "",
                "target, `links`",
            )
            .with_budget(a.descriptors / 2.0 - 16.0),
            calculated("bodies a director, out, and as many in", 8.0 * bytes, "bit/s", "target"),
            calculated("bytes of a lookup in the mean", bytes / mean, "B", limits).with_budget(a.body),
            calculated(
                "what bodies of the largest size come to at the mean rate",
                8.0 * mean * a.body,
                "bit/s",
                limits,
            ),
            calculated("lookups of the largest body that the bytes would take", full, PER_SECOND, limits),
            calculated(
                "processor for those, on loopback",
                passing,
                PERCENT_OF_CORE,
                "real-lookup-time, real-body-time",
            )
            .with_budget(100.0),
        ]);
        vec![("ordinary path", rows)]
    }

    pub(super) fn router_sections(&self) -> Vec<Section> {
        let t = &self.target;
        let seen = |what: &str, size, unit, name| self.slope_row(what, size, unit, name);
        let mut rows = Vec::new();
        for (call, name) in
            [("route", "module-route"), ("on_outcome", "module-after"), ("next_check", "module-patience")]
        {
            for nodes in [10.0, 100.0, t.nodes] {
                let took = self.measured_or_predicted(name, nodes) / 1e3;
                rows.push(measured(format!("{call} with {nodes:.0} nodes"), Some(took), "us", name));
            }
        }
        let purge = self.predict("module-purge-known", self.active_purges());
        let memory = self.slope("module-purge-memory") * self.active_purges();
        let places = "virtual nodes on the ring of parents, a quarter of the nodes";
        rows.extend([
            seen("a change of a parent: its hash ring built again", t.nodes, "us", "module-change-parent"),
            seen("a change of a cache of another zone", t.nodes, "us", "module-change-cache"),
            seen("a zone's loss, 8 changes by 8 events", t.nodes, "us", "module-zone-loss"),
            seen("a zone's loss, 8 changes by one event", t.nodes, "us", "module-zone-loss-at-once"),
            calculated("a purge, with all active purges known", purge, "us", "module-purge-known"),
            seen("all purges", t.purges, PERCENT_OF_CORE, "module-purge-rate"),
            seen("ten times the purges", 10.0 * t.purges, PERCENT_OF_CORE, "module-purge-rate"),
            calculated(places, 256.0 * 0.25 * t.nodes, "", "target, `VIRTUAL_NODES`"),
            seen("memory, endpoint list and rings", t.nodes, "B", "module-memory"),
            calculated("memory of the active purges", memory, "B", "module-purge-memory"),
        ]);
        vec![("router", rows.into_iter().map(|row| row.with_mechanism("`src/`")).collect())]
    }

    pub(super) fn startup_sections(&self) -> Vec<Section> {
        let t = &self.target;
        let (base, region) = (self.snapshot_bytes(), t.directors / t.regions);
        let all = t.directors * base;
        let mut sections = vec![
            (
                "one director starts",
                vec![sent_row("sent", base), self.startup_cpu_row(self.retained_purges())],
            ),
            (
                "a region starts",
                vec![
                    sent_row("sent", region * base),
                    self.link_time_row("time, all at one relay", region * base).with_mechanism(RELAYS),
                ],
            ),
            (
                "all start at once",
                vec![
                    sent_row("sent", all),
                    self.link_time_row("time, from one source", all).with_mechanism(STAR),
                    self.link_time_row("time, from 13 relays", all / t.machines).with_mechanism(RELAYS),
                ],
            ),
            ("restarts of a day", vec![sent_row("sent", t.restarts_a_day * base)]),
        ];
        sections.push(self.zone_loss_section());
        sections.extend(self.reconnect_sections());
        sections
    }

    fn zone_loss_section(&self) -> Section {
        let eight = 8.0 * self.slope("feed-change-bytes");
        let taken = 8.0 * self.slope("feed-change-time")
            + self.measured_or_predicted("module-zone-loss", self.target.nodes);
        (
            "a zone lost",
            vec![
                calculated("sent: 8 changes, a director", eight, "B", "feed-change-bytes")
                    .with_mechanism(RELAYS),
                calculated(
                    "read and applied by the router",
                    taken,
                    "us",
                    "feed-change-time, module-zone-loss",
                ),
            ],
        )
    }

    /// What directors receive after regions have lost each other for the time of the target.
    fn reconnect_sections(&self) -> [Section; 2] {
        let t = &self.target;
        let (base, region) = (self.snapshot_bytes(), t.directors / t.regions);
        let untold = t.purges * t.cut_s;
        let hour = untold * self.slope("feed-purge-bytes") + self.predict("feed-list-bytes", t.nodes);
        let star = "feed-purge-bytes, feed-list-bytes";
        [
            (
                "after the hour, star",
                vec![
                    calculated("purges not sent yet", untold, "", "target").with_mechanism(STAR),
                    calculated("sent, a director", hour, "B", star).with_mechanism(STAR),
                    calculated("sent, a region", region * hour, "B", star).with_mechanism(STAR),
                    self.link_time_row("time, a region from one source", region * hour).with_mechanism(STAR),
                    self.startup_cpu_row(untold).with_mechanism(STAR),
                ],
            ),
            (
                "after the hour, relays",
                vec![
                    calculated("purges sent", self.retained_purges(), "", "target x (binds-s + slack-s)")
                        .with_mechanism(RELAYS),
                    sent_row("sent, a director", base),
                    sent_row("sent, a region", region * base),
                    self.link_time_row("time, a region from one relay", region * base).with_mechanism(RELAYS),
                    self.startup_cpu_row(self.retained_purges()).with_mechanism(RELAYS),
                ],
            ),
        ]
    }

    /// The processor time in which a director that starts takes these purges in.
    fn startup_cpu_row(&self, purges: f64) -> Row {
        let us = 1e3 * self.predict("real-told-time", purges);
        calculated("processor, a director", us, "us", "real-told-time").with_budget(1e6 * self.budget.purge_s)
    }

    /// The time that these bytes take on the link of one control machine.
    fn link_time_row(&self, what: &str, bytes: f64) -> Row {
        let us = 8.0 * bytes / self.assumptions.machine_link * 1e6;
        calculated(what, us, "us", LINK_TIME).with_budget(1e6 * self.budget.purge_s)
    }
}

fn sent_row(what: &str, bytes: f64) -> Row {
    calculated(what, bytes, "B", BASE_BYTES).with_mechanism(RELAYS)
}
