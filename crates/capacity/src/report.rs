//! The tables of the page, from the sheet.

use std::fmt::Write;

use crate::cost::format_significant;
use crate::model::CapacityModel;

/// One figure of the page.
#[derive(Default)]
struct Row {
    description: String,
    value: Option<f64>,
    unit: &'static str,
    /// The slopes, the figure of a run, or the limits that it comes from.
    source: &'static str,
    /// By the run of that name, not by arithmetic.
    is_measured: bool,
    /// What carries it.
    mechanism: &'static str,
    budget: Option<f64>,
}

/// By arithmetic from what is named.
fn calculated(what: impl Into<String>, value: f64, unit: &'static str, from: &'static str) -> Row {
    Row { description: what.into(), value: Some(value), unit, source: from, ..Row::default() }
}

/// By the run of that name; without a value it waits for it.
fn measured(what: impl Into<String>, value: Option<f64>, unit: &'static str, from: &'static str) -> Row {
    Row { description: what.into(), value, unit, source: from, is_measured: true, ..Row::default() }
}

impl Row {
    fn with_mechanism(self, mechanism: &'static str) -> Row {
        Row { mechanism, ..self }
    }

    fn with_budget(self, budget: f64) -> Row {
        Row { budget: Some(budget), ..self }
    }

    fn assessment(&self) -> String {
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

/// With a unit that suits its size.
pub fn format_amount(value: f64, unit: &str) -> String {
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

/// Three digits that count, thousands apart.
fn format_three_digits(value: f64) -> String {
    if value.abs() < 1_000.0 {
        let whole = value.fract() == 0.0;
        let digits = if whole { 0 } else { (2 - value.abs().log10().floor() as i32).clamp(0, 6) };
        return format!("{value:.*}", digits as usize);
    }
    let whole = format!("{:.0}", value.abs());
    let mut out = String::from(if value < 0.0 { "-" } else { "" });
    for (n, digit) in whole.chars().enumerate() {
        if n > 0 && (whole.len() - n).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    out
}

pub const TABLES_BEGIN: &str = "<!-- capacity: begin -->";
pub const TABLES_END: &str = "<!-- capacity: end -->";

const RELAYS: &str = "relays (`crates/relay`)";
const STAR: &str = "none: one source, a star";
const POOLS: &str = "pools of connections (`wire/nodes.rs`)";
const COORDINATION: &str = "duties (`crates/coordination`) among the 13";
const ALL_MEMBERS: &str = "none: all directors as members";

/// Rows of one who or when.
type Section = (&'static str, Vec<Row>);

const PERCENT_OF_CORE: &str = "% of a core";
const PER_SECOND: &str = "a second";
const FEED_BYTES: &str = "feed-purge-bytes, feed-change-bytes, heads";
const BASE_BYTES: &str = "feed-list-bytes, feed-purge-bytes, binds-s, slack-s";
const LINK_TIME: &str = "the bytes over machine-link";

impl CapacityModel {
    fn figure_row(&self, what: &str, unit: &'static str, name: &'static str) -> Row {
        measured(what, self.figure(name), unit, name)
    }

    /// Measured at that size, or worked out by the line.
    fn slope_row(&self, what: impl Into<String>, size: f64, unit: &'static str, name: &'static str) -> Row {
        let points = self.slopes.get(name).map(|s| &s.points[..]).unwrap_or_default();
        let measured = points.iter().any(|p| p.0 == size);
        Row { is_measured: measured, ..calculated(what, self.measured_or_predicted(name, size), unit, name) }
    }

    fn director_sections(&self) -> Vec<Section> {
        let (t, b, comment) = (&self.target, &self.budget, self.assumptions.comment);
        let (own, batched) = (t.purges + self.changes_per_s() + 1.0, self.batches_per_s() + 1.0);
        let change = self.changes_per_s() * self.slope("real-change-time");
        let star = self.measured_or_predicted("real-purge-time", t.purges) + change;
        let relays = self.predict("real-batch-time", self.batches_per_s()) + change;
        let told = self.subscriber_bytes_per_s(batched, comment) + self.reconnect_bytes_per_s();
        let memory = 1e6 * b.memory_mb;
        let cpu = "real-purge-time, real-change-time";
        let ten = "ten times the purges and changes";
        let tenfold = self.measured_or_predicted("real-purge-time", 10.0 * t.purges) + 10.0 * change;
        let probed = self.predict("duties-facts-bytes", t.nodes);
        let facts = "duties-facts-bytes, with the feed's beside it";
        let share = "time of a change of the deal, at each member";
        let rows = vec![
            calculated("state: nodes listed", t.nodes, "", "target"),
            calculated("state: purges that bind", self.active_purges(), "", "target x binds-s"),
            calculated("messages heard, one each", own, PER_SECOND, "target").with_mechanism(STAR),
            calculated("messages heard, in batches", batched, PER_SECOND, "batch-ms").with_mechanism(RELAYS),
            calculated(
                "bytes, one event a packet",
                self.subscriber_bytes_per_s(own, comment),
                "B/s",
                FEED_BYTES,
            )
            .with_mechanism(STAR)
            .with_budget(b.bytes),
            calculated("bytes, in batches, in force told", told, "B/s", FEED_BYTES)
                .with_mechanism(RELAYS)
                .with_budget(b.bytes),
            self.figure_row("bytes, measured, without packet heads", "B/s", "scale-director-bytes")
                .with_mechanism(RELAYS)
                .with_budget(b.bytes),
            self.figure_row("bytes, measured, heads by arithmetic", "B/s", "scale-director-heads")
                .with_mechanism(RELAYS)
                .with_budget(b.bytes),
            calculated("processor, one event a packet", star, PERCENT_OF_CORE, cpu)
                .with_mechanism(STAR)
                .with_budget(b.core),
            calculated("processor, in batches", relays, PERCENT_OF_CORE, "real-batch-time, real-change-time")
                .with_mechanism(RELAYS)
                .with_budget(b.core),
            self.figure_row("processor, measured", PERCENT_OF_CORE, "scale-director-core")
                .with_mechanism(RELAYS)
                .with_budget(b.core),
            calculated(
                "memory of a director at rest",
                self.predict("real-told-memory", self.active_purges()),
                "B",
                "real-told-memory",
            )
            .with_budget(memory),
            self.figure_row("memory, measured", "B", "scale-director-memory")
                .with_mechanism(RELAYS)
                .with_budget(memory),
            calculated(
                format!("{ten}: bytes, in batches"),
                told + 9.0 * self.event_bytes_per_s(),
                "B/s",
                FEED_BYTES,
            )
            .with_mechanism(RELAYS)
            .with_budget(b.bytes),
            calculated(format!("{ten}: processor, one event a packet"), tenfold, PERCENT_OF_CORE, cpu)
                .with_mechanism(STAR)
                .with_budget(b.core),
            calculated(
                "bytes as a member of duties, words alone",
                self.predict("duties-member-bytes", t.directors),
                "B/s",
                "duties-member-bytes",
            )
            .with_mechanism(ALL_MEMBERS)
            .with_budget(b.bytes),
            calculated("the same with all nodes probed once a second", probed, "B/s", facts)
                .with_mechanism(ALL_MEMBERS)
                .with_budget(b.bytes - self.subscriber_bytes_per_s(batched, comment)),
            self.slope_row(share, t.directors, "us", "duties-share-time").with_mechanism(ALL_MEMBERS),
        ];
        vec![("director", rows)]
    }

    fn voter_sections(&self) -> Vec<Section> {
        let (t, machine) = (&self.target, self.budget.machine_core);
        let of = |members: f64, mechanism: &'static str, core: f64| {
            let name = |what: &str| format!("{} members: {what}", format_three_digits(members));
            let seen = |what: &str, unit, cost| {
                self.slope_row(name(what), members, unit, cost).with_mechanism(mechanism)
            };
            let voter = "processor with sockets, a voter that is a director or relay";
            let dealer = "processor with sockets, the owner that deals, on a machine of its own";
            let in_rig = "processor of a voter in the fleet rig, with its boxes and a few lookups";
            let deals_in_rig = "processor of the owner that deals in the fleet rig";
            let clients = (self.assumptions.descriptors / 3.0).floor() + 8.0;
            [
                seen("calls", PER_SECOND, "duties-voter-calls"),
                seen("bytes, words alone", "B/s", "duties-voter-bytes"),
                seen("own code", PERCENT_OF_CORE, "duties-voter-time").with_budget(machine),
                seen(voter, PERCENT_OF_CORE, "real-voter-time").with_budget(core),
                seen(in_rig, PERCENT_OF_CORE, "lab-voter-time").with_budget(core),
                seen(dealer, PERCENT_OF_CORE, "real-dealer-time").with_budget(machine),
                seen(deals_in_rig, PERCENT_OF_CORE, "lab-dealer-time").with_budget(machine),
                seen("the deal told whole", "B", "duties-roster-bytes"),
                calculated(name("connections of a director that votes"), members, "", "target, `clients`")
                    .with_mechanism(mechanism)
                    .with_budget(clients),
            ]
        };
        let all = of(t.directors, ALL_MEMBERS, self.budget.core);
        vec![("voter", all.into_iter().chain(of(t.machines, COORDINATION, machine)).collect())]
    }

    fn source_sections(&self) -> Vec<Section> {
        let (t, a, core) = (&self.target, &self.assumptions, self.budget.machine_core);
        let (own, batched) = (t.purges + self.changes_per_s() + 1.0, self.batches_per_s() + 1.0);
        let below = t.directors / t.machines;
        let told = self.subscriber_bytes_per_s(batched, a.comment) + self.reconnect_bytes_per_s();
        let star = t.directors * self.subscriber_bytes_per_s(own, a.comment);
        let (link, most) = (a.machine_link / 8.0, a.connections);
        let source = vec![
            calculated("connections", t.directors, "", "target").with_mechanism(STAR).with_budget(most),
            calculated("messages told", t.directors * own, PER_SECOND, "target").with_mechanism(STAR),
            calculated("bytes, both ways", star, "B/s", "feed-purge-bytes, heads")
                .with_mechanism(STAR)
                .with_budget(link),
            self.figure_row("processor", PERCENT_OF_CORE, "scale-star-source-core")
                .with_mechanism(STAR)
                .with_budget(core),
        ];
        let readers = "readers, if it has its part of the directors";
        let owner = vec![
            calculated("state: log and base", self.snapshot_bytes(), "B", BASE_BYTES).with_mechanism(RELAYS),
            calculated(readers, below + t.machines - 1.0, "", "target")
                .with_mechanism(RELAYS)
                .with_budget(most),
            calculated("entries kept at a majority", self.batches_per_s(), PER_SECOND, "batch-ms")
                .with_mechanism(RELAYS),
            self.figure_row("bytes with other relays", "B/s", "scale-owner-bytes")
                .with_mechanism(RELAYS)
                .with_budget(link),
            self.figure_row("processor", PERCENT_OF_CORE, "scale-owner-core")
                .with_mechanism(RELAYS)
                .with_budget(core),
            self.figure_row("memory", "B", "scale-owner-memory").with_mechanism(RELAYS),
        ];
        let lost = t.directors / (t.machines - 5.0);
        let plain = vec![
            calculated("readers", below, "", "target").with_mechanism(RELAYS).with_budget(most),
            calculated("messages told", below * batched, PER_SECOND, "batch-ms").with_mechanism(RELAYS),
            calculated("calls answered", below * 1e3 / a.ack_ms, PER_SECOND, "ack-ms").with_mechanism(RELAYS),
            calculated("bytes to directors, both ways", below * told, "B/s", FEED_BYTES)
                .with_mechanism(RELAYS)
                .with_budget(link),
            self.figure_row("bytes with other relays", "B/s", "scale-relay-bytes")
                .with_mechanism(RELAYS)
                .with_budget(link),
            self.figure_row("processor", PERCENT_OF_CORE, "scale-relay-core")
                .with_mechanism(RELAYS)
                .with_budget(core),
            self.figure_row("memory", "B", "scale-relay-memory").with_mechanism(RELAYS),
            calculated("readers while five of the machines are lost", lost, "", "target")
                .with_mechanism(RELAYS)
                .with_budget(most),
        ];
        vec![("source, star", source), ("owner relay", owner), ("plain relay", plain)]
    }

    fn propagation_sections(&self) -> Vec<Section> {
        let b = &self.budget;
        let rows = vec![
            self.figure_row("a purge, the most", "s", "scale-purge-most")
                .with_mechanism(RELAYS)
                .with_budget(b.purge_s),
            self.figure_row("a change, the most", "s", "scale-change-most")
                .with_mechanism(RELAYS)
                .with_budget(b.change_s),
            self.figure_row("a purge on the star, the most", "s", "scale-star-purge-most")
                .with_mechanism(STAR)
                .with_budget(b.purge_s),
        ];
        vec![("in force everywhere", rows)]
    }

    fn node_sections(&self) -> Vec<Section> {
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

    fn request_path_sections(&self) -> Vec<Section> {
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

    fn router_sections(&self) -> Vec<Section> {
        let t = &self.target;
        let seen = |what: &str, size, unit, name| self.slope_row(what, size, unit, name);
        let mut rows = Vec::new();
        for (call, name) in
            [("route", "module-route"), ("after", "module-after"), ("patience", "module-patience")]
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
            seen("a change of a parent: its ring built again", t.nodes, "us", "module-change-parent"),
            seen("a change of a cache of another zone", t.nodes, "us", "module-change-cache"),
            seen("a zone's loss, 8 changes by 8 events", t.nodes, "us", "module-zone-loss"),
            seen("a zone's loss, 8 changes by one event", t.nodes, "us", "module-zone-loss-at-once"),
            calculated("a purge, with as many known as bind", purge, "us", "module-purge-known"),
            seen("all purges", t.purges, PERCENT_OF_CORE, "module-purge-rate"),
            seen("ten times the purges", 10.0 * t.purges, PERCENT_OF_CORE, "module-purge-rate"),
            calculated(places, 256.0 * 0.25 * t.nodes, "", "target, `VIRTUAL_NODES`"),
            seen("memory, endpoint list and rings", t.nodes, "B", "module-memory"),
            calculated("memory of the purges that bind", memory, "B", "module-purge-memory"),
        ]);
        vec![("module", rows.into_iter().map(|row| row.with_mechanism("`src/`")).collect())]
    }

    fn startup_sections(&self) -> Vec<Section> {
        let (t, a, purge) = (&self.target, &self.assumptions, 1e6 * self.budget.purge_s);
        let (base, region) = (self.snapshot_bytes(), t.directors / t.regions);
        let untold = t.purges * t.cut_s;
        let hour = untold * self.slope("feed-purge-bytes") + self.predict("feed-list-bytes", t.nodes);
        let link = |bytes: f64| 8.0 * bytes / a.machine_link * 1e6;
        let took = |purges: f64| {
            let us = 1e3 * self.predict("real-told-time", purges);
            calculated("processor, a director", us, "us", "real-told-time").with_budget(purge)
        };
        let told = |what: &str, bytes: f64| calculated(what, bytes, "B", BASE_BYTES).with_mechanism(RELAYS);
        let time = |what: &str, bytes: f64| calculated(what, link(bytes), "us", LINK_TIME).with_budget(purge);
        let all = t.directors * base;
        let eight = 8.0 * self.slope("feed-change-bytes");
        let taken =
            8.0 * self.slope("feed-change-time") + self.measured_or_predicted("module-zone-loss", t.nodes);
        let star = "feed-purge-bytes, feed-list-bytes";
        vec![
            ("one director begins", vec![told("told", base), took(self.retained_purges())]),
            (
                "a region's begin",
                vec![
                    told("told", region * base),
                    time("time, all at one relay", region * base).with_mechanism(RELAYS),
                ],
            ),
            (
                "all begin at once",
                vec![
                    told("told", all),
                    time("time, from one source", all).with_mechanism(STAR),
                    time("time, from 13 relays", all / t.machines).with_mechanism(RELAYS),
                ],
            ),
            ("restarts of a day", vec![told("told", t.restarts_a_day * base)]),
            (
                "a zone lost",
                vec![
                    calculated("told: 8 changes, a director", eight, "B", "feed-change-bytes")
                        .with_mechanism(RELAYS),
                    calculated(
                        "read and taken in by the module",
                        taken,
                        "us",
                        "feed-change-time, module-zone-loss",
                    ),
                ],
            ),
            (
                "after the hour, star",
                vec![
                    calculated("purges untold", untold, "", "target").with_mechanism(STAR),
                    calculated("told, a director", hour, "B", star).with_mechanism(STAR),
                    calculated("told, a region", region * hour, "B", star).with_mechanism(STAR),
                    time("time, a region from one source", region * hour).with_mechanism(STAR),
                    took(untold).with_mechanism(STAR),
                ],
            ),
            (
                "after the hour, relays",
                vec![
                    calculated("purges told", self.retained_purges(), "", "target x (binds-s + slack-s)")
                        .with_mechanism(RELAYS),
                    told("told, a director", base),
                    told("told, a region", region * base),
                    time("time, a region from one relay", region * base).with_mechanism(RELAYS),
                    took(self.retained_purges()).with_mechanism(RELAYS),
                ],
            ),
        ]
    }

    /// The rows that are past their budget, and those that wait for a run.
    pub fn verdicts(&self) -> (Vec<String>, Vec<String>) {
        let parts = self.sections().into_iter().flat_map(|(_, parts)| parts);
        let all = parts.flat_map(|(who, rows)| rows.into_iter().map(move |row| (who, row)));
        let (mut past, mut open) = (Vec::new(), Vec::new());
        for (who, row) in all {
            let line = format!("{who}: {}", row.description);
            match (row.value, row.budget) {
                (None, _) => open.push(line),
                (Some(v), Some(b)) if v > b => past.push(line),
                _ => {}
            }
        }
        (past, open)
    }

    fn sections(&self) -> Vec<(&'static str, Vec<Section>)> {
        vec![
            ("A director's control", self.director_sections()),
            ("Voters and owners of duties", self.voter_sections()),
            ("Source and relays", self.source_sections()),
            ("Until in force everywhere", self.propagation_sections()),
            ("Cache nodes and parents as far as directors cause it; the command line", self.node_sections()),
            ("The ordinary path", self.request_path_sections()),
            ("The module with all nodes listed", self.router_sections()),
            ("At starts, at failures, after the hour", self.startup_sections()),
        ]
    }

    /// What stands between the page's marks.
    pub fn tables(&self) -> String {
        let mut out = String::from(
            "What is measured names its run, below; all else is arithmetic from what it names.\n",
        );
        let mut line = |text: std::fmt::Arguments| {
            // Writing to memory does not fail.
            let _ = writeln!(out, "{text}");
        };
        for (title, parts) in self.sections() {
            line(format_args!("\n### {title}\n"));
            line(format_args!("| who, when | what | figure | from | carried by | margin to budget |"));
            line(format_args!("| --- | --- | --- | --- | --- | --- |"));
            let rows = parts.into_iter().flat_map(|(who, rows)| rows.into_iter().map(move |row| (who, row)));
            for (who, row) in rows {
                let value = row.value.map_or("-".into(), |v| format_amount(v, row.unit));
                let from = match (row.is_measured, row.value) {
                    (true, None) => format!("waits for `{}`", row.source),
                    (true, Some(_)) => format!("measured: `{}`", row.source),
                    (false, _) => format!("arithmetic: {}", row.source),
                };
                let (what, by, state) = (&row.description, row.mechanism, row.assessment());
                line(format_args!("| {who} | {what} | {value} | {from} | {by} | {state} |"));
            }
        }
        line(format_args!("\n### Slopes\n"));
        line(format_args!(
            "`sablecross slopes --only NAME` measures one again, unless another command is named.\n"
        ));
        line(format_args!(
            "| name | unit over | slope | intercept | worst residual | bends | from, to | run |"
        ));
        line(format_args!("| --- | --- | --- | --- | --- | --- | --- | --- |"));
        for s in self.slope_names.iter().filter_map(|name| self.slopes.get(name)) {
            let ends = |p: Option<&(f64, f64)>| {
                p.map_or("-".into(), |p| {
                    format!("{} at {}", format_significant(p.1), format_three_digits(p.0))
                })
            };
            let bend = if s.bend > 0.0 { format!("at {}", format_three_digits(s.bend)) } else { "no".into() };
            let again = s.command.as_ref().map_or(String::new(), |c| format!("; `{c}`"));
            line(format_args!(
                "| `{}` | {} over {} | {} | {} | {:.0}% | {bend} | {}, {} | {}{again} |",
                s.name,
                s.unit,
                s.over,
                format_significant(s.slope),
                format_significant(s.intercept),
                s.worst,
                ends(s.points.first()),
                ends(s.points.last()),
                s.run
            ));
        }
        line(format_args!("\n### Runs\n"));
        line(format_args!("| name | what | figure | run | measured again by |"));
        line(format_args!("| --- | --- | --- | --- | --- |"));
        for f in self.figures.values() {
            let value = f.value.map_or("not measured yet".into(), |v| format_amount(v, &f.unit));
            let run = f.run.as_deref().unwrap_or("-");
            line(format_args!("| `{}` | {} | {value} | {run} | `{}` |", f.name, f.what, f.command));
        }
        let (past, open) = self.verdicts();
        let list = |all: &[String]| if all.is_empty() { "none".into() } else { all.join("; ") };
        line(format_args!("\nPast their budget: {}.\n", list(&past)));
        line(format_args!("Not measured yet: {}.", list(&open)));
        out
    }
}

/// The page with its tables between the marks replaced; none, if the marks are not there in their order.
pub fn replace_tables(page: &str, tables: &str) -> Option<String> {
    let (before, rest) = page.split_once(TABLES_BEGIN)?;
    let (_, after) = rest.split_once(TABLES_END)?;
    Some(format!("{before}{TABLES_BEGIN}\n{tables}{TABLES_END}{after}"))
}
