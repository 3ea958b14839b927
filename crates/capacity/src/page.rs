//! The tables of the page, from the sheet.

use std::fmt::Write;

use crate::cost::short;
use crate::sheet::Sheet;

/// One figure of the page.
#[derive(Default)]
struct Row {
    what: String,
    value: Option<f64>,
    unit: &'static str,
    /// The slopes, the figure of a run, or the limits that it comes from.
    from: &'static str,
    /// By the run of that name, not by arithmetic.
    measured: bool,
    /// What carries it.
    mechanism: &'static str,
    budget: Option<f64>,
}

/// By arithmetic from what is named.
fn sums(what: impl Into<String>, value: f64, unit: &'static str, from: &'static str) -> Row {
    Row { what: what.into(), value: Some(value), unit, from, ..Row::default() }
}

/// By the run of that name; without a value it waits for it.
fn run(what: impl Into<String>, value: Option<f64>, unit: &'static str, from: &'static str) -> Row {
    Row { what: what.into(), value, unit, from, measured: true, ..Row::default() }
}

impl Row {
    fn on(self, mechanism: &'static str) -> Row {
        Row { mechanism, ..self }
    }

    fn within(self, budget: f64) -> Row {
        Row { budget: Some(budget), ..self }
    }

    fn state(&self) -> String {
        match (self.value, self.budget) {
            (None, _) => "not measured yet".into(),
            (Some(_), None) => String::new(),
            (Some(v), Some(b)) if v > b => {
                format!("**not carried**: {} of {}", amount(v, self.unit), amount(b, self.unit))
            }
            (Some(v), Some(b)) => format!("{} times, of {}", three(b / v), amount(b, self.unit)),
        }
    }
}

/// With a unit that suits its size.
pub fn amount(value: f64, unit: &str) -> String {
    let scaled = |steps: &[(f64, &str)]| {
        let (by, word) = steps.iter().rev().find(|(by, _)| value.abs() >= *by).unwrap_or(&steps[0]);
        format!("{} {word}", three(value / by))
    };
    match unit {
        "B" => scaled(&[(1.0, "B"), (1e3, "KB"), (1e6, "MB"), (1e9, "GB")]),
        "B/s" => scaled(&[(1.0, "B/s"), (1e3, "KB/s"), (1e6, "MB/s"), (1e9, "GB/s")]),
        "bit/s" => scaled(&[(1.0, "bit/s"), (1e6, "Mbit/s"), (1e9, "Gbit/s"), (1e12, "Tbit/s")]),
        "us" => scaled(&[(0.001, "ns"), (1.0, "us"), (1e3, "ms"), (1e6, "s")]),
        "" => three(value),
        _ => format!("{} {unit}", three(value)),
    }
}

/// Three digits that count, thousands apart.
fn three(value: f64) -> String {
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

pub const BEGIN: &str = "<!-- capacity: begin -->";
pub const END: &str = "<!-- capacity: end -->";

const FEED: &str = "relays (`crates/relay`)";
const STAR: &str = "none: one source, a star";
const POOLS: &str = "pools of connections (`wire/nodes.rs`)";
const DUTY: &str = "duties (`crates/coordination`) among the 13";
const ALL_MEMBERS: &str = "none: all directors as members";

/// Rows of one who or when.
type Part = (&'static str, Vec<Row>);

const CORE: &str = "% of a core";
const SECOND: &str = "a second";
const FEED_BYTES: &str = "feed-purge-bytes, feed-change-bytes, heads";
const BASE_BYTES: &str = "feed-list-bytes, feed-purge-bytes, binds-s, slack-s";
const WIRE: &str = "the bytes over machine-link";

impl Sheet {
    fn figured(&self, what: &str, unit: &'static str, name: &'static str) -> Row {
        run(what, self.figure(name), unit, name)
    }

    /// Measured at that size, or worked out by the line.
    fn seen(&self, what: impl Into<String>, size: f64, unit: &'static str, name: &'static str) -> Row {
        let points = self.slopes.get(name).map(|s| &s.points[..]).unwrap_or_default();
        let measured = points.iter().any(|p| p.0 == size);
        Row { measured, ..sums(what, self.measured(name, size), unit, name) }
    }

    fn director(&self) -> Vec<Part> {
        let (t, b, comment) = (&self.target, &self.budget, self.assumed.comment);
        let (own, batched) = (t.purges + self.changes() + 1.0, self.batches() + 1.0);
        let change = self.changes() * self.slope("real-change-time");
        let star = self.measured("real-purge-time", t.purges) + change;
        let relays = self.at("real-batch-time", self.batches()) + change;
        let told = self.told(batched, comment) + self.words();
        let memory = 1e6 * b.memory_mb;
        let cpu = "real-purge-time, real-change-time";
        let ten = "ten times the purges and changes";
        let tenfold = self.measured("real-purge-time", 10.0 * t.purges) + 10.0 * change;
        let probed = self.at("duties-facts-bytes", t.nodes);
        let facts = "duties-facts-bytes, with the feed's beside it";
        let share = "time of a change of the deal, at each member";
        let rows = vec![
            sums("state: nodes listed", t.nodes, "", "target"),
            sums("state: purges that bind", self.binding(), "", "target x binds-s"),
            sums("messages heard, one each", own, SECOND, "target").on(STAR),
            sums("messages heard, in batches", batched, SECOND, "batch-ms").on(FEED),
            sums("bytes, one event a packet", self.told(own, comment), "B/s", FEED_BYTES)
                .on(STAR)
                .within(b.bytes),
            sums("bytes, in batches, in force told", told, "B/s", FEED_BYTES).on(FEED).within(b.bytes),
            self.figured("bytes, measured, without packet heads", "B/s", "scale-director-bytes")
                .on(FEED)
                .within(b.bytes),
            self.figured("bytes, measured, heads by arithmetic", "B/s", "scale-director-heads")
                .on(FEED)
                .within(b.bytes),
            sums("processor, one event a packet", star, CORE, cpu).on(STAR).within(b.core),
            sums("processor, in batches", relays, CORE, "real-batch-time, real-change-time")
                .on(FEED)
                .within(b.core),
            self.figured("processor, measured", CORE, "scale-director-core").on(FEED).within(b.core),
            sums(
                "memory of a director at rest",
                self.at("real-told-memory", self.binding()),
                "B",
                "real-told-memory",
            )
            .within(memory),
            self.figured("memory, measured", "B", "scale-director-memory").on(FEED).within(memory),
            sums(format!("{ten}: bytes, in batches"), told + 9.0 * self.events(), "B/s", FEED_BYTES)
                .on(FEED)
                .within(b.bytes),
            sums(format!("{ten}: processor, one event a packet"), tenfold, CORE, cpu).on(STAR).within(b.core),
            sums(
                "bytes as a member of duties, words alone",
                self.at("duties-member-bytes", t.directors),
                "B/s",
                "duties-member-bytes",
            )
            .on(ALL_MEMBERS)
            .within(b.bytes),
            sums("the same with all nodes probed once a second", probed, "B/s", facts)
                .on(ALL_MEMBERS)
                .within(b.bytes - self.told(batched, comment)),
            self.seen(share, t.directors, "us", "duties-share-time").on(ALL_MEMBERS),
        ];
        vec![("director", rows)]
    }

    fn voter(&self) -> Vec<Part> {
        let (t, machine) = (&self.target, self.budget.machine_core);
        let of = |members: f64, mechanism: &'static str, core: f64| {
            let name = |what: &str| format!("{} members: {what}", three(members));
            let seen = |what: &str, unit, cost| self.seen(name(what), members, unit, cost).on(mechanism);
            let voter = "processor with sockets, a voter that is a director or relay";
            let dealer = "processor with sockets, the owner that deals, on a machine of its own";
            let in_rig = "processor of a voter in the fleet rig, with its boxes and a few lookups";
            let deals_in_rig = "processor of the owner that deals in the fleet rig";
            let clients = (self.assumed.descriptors / 3.0).floor() + 8.0;
            [
                seen("calls", SECOND, "duties-voter-calls"),
                seen("bytes, words alone", "B/s", "duties-voter-bytes"),
                seen("own code", CORE, "duties-voter-time").within(machine),
                seen(voter, CORE, "real-voter-time").within(core),
                seen(in_rig, CORE, "lab-voter-time").within(core),
                seen(dealer, CORE, "real-dealer-time").within(machine),
                seen(deals_in_rig, CORE, "lab-dealer-time").within(machine),
                seen("the deal told whole", "B", "duties-roster-bytes"),
                sums(name("connections of a director that votes"), members, "", "target, `clients`")
                    .on(mechanism)
                    .within(clients),
            ]
        };
        let all = of(t.directors, ALL_MEMBERS, self.budget.core);
        vec![("voter", all.into_iter().chain(of(t.machines, DUTY, machine)).collect())]
    }

    fn source(&self) -> Vec<Part> {
        let (t, a, core) = (&self.target, &self.assumed, self.budget.machine_core);
        let (own, batched) = (t.purges + self.changes() + 1.0, self.batches() + 1.0);
        let below = t.directors / t.machines;
        let told = self.told(batched, a.comment) + self.words();
        let star = t.directors * self.told(own, a.comment);
        let (link, most) = (a.machine_link / 8.0, a.connections);
        let source = vec![
            sums("connections", t.directors, "", "target").on(STAR).within(most),
            sums("messages told", t.directors * own, SECOND, "target").on(STAR),
            sums("bytes, both ways", star, "B/s", "feed-purge-bytes, heads").on(STAR).within(link),
            self.figured("processor", CORE, "scale-star-source-core").on(STAR).within(core),
        ];
        let readers = "readers, if it has its part of the directors";
        let owner = vec![
            sums("state: log and base", self.base(), "B", BASE_BYTES).on(FEED),
            sums(readers, below + t.machines - 1.0, "", "target").on(FEED).within(most),
            sums("entries kept at a majority", self.batches(), SECOND, "batch-ms").on(FEED),
            self.figured("bytes with other relays", "B/s", "scale-owner-bytes").on(FEED).within(link),
            self.figured("processor", CORE, "scale-owner-core").on(FEED).within(core),
            self.figured("memory", "B", "scale-owner-memory").on(FEED),
        ];
        let lost = t.directors / (t.machines - 5.0);
        let plain = vec![
            sums("readers", below, "", "target").on(FEED).within(most),
            sums("messages told", below * batched, SECOND, "batch-ms").on(FEED),
            sums("calls answered", below * 1e3 / a.ack_ms, SECOND, "ack-ms").on(FEED),
            sums("bytes to directors, both ways", below * told, "B/s", FEED_BYTES).on(FEED).within(link),
            self.figured("bytes with other relays", "B/s", "scale-relay-bytes").on(FEED).within(link),
            self.figured("processor", CORE, "scale-relay-core").on(FEED).within(core),
            self.figured("memory", "B", "scale-relay-memory").on(FEED),
            sums("readers while five of the machines are lost", lost, "", "target").on(FEED).within(most),
        ];
        vec![("source, star", source), ("owner relay", owner), ("plain relay", plain)]
    }

    fn in_force(&self) -> Vec<Part> {
        let b = &self.budget;
        let rows = vec![
            self.figured("a purge, the most", "s", "scale-purge-most").on(FEED).within(b.purge_s),
            self.figured("a change, the most", "s", "scale-change-most").on(FEED).within(b.change_s),
            self.figured("a purge on the star, the most", "s", "scale-star-purge-most")
                .on(STAR)
                .within(b.purge_s),
        ];
        vec![("in force everywhere", rows)]
    }

    fn nodes(&self) -> Vec<Part> {
        let (t, most) = (&self.target, self.assumed.descriptors);
        let (zone, links) = (t.directors / t.zones, (most / 16.0).max(4.0));
        let lookups = t.lookups / (0.75 * t.nodes);
        let quarters = "target, three quarters of the nodes caches";
        let connections = |directors: f64| {
            [
                sums("connections, one of each director", directors, "", "target").on(POOLS).within(most),
                sums("connections at most", directors * links, "", "`links_a_node`").on(POOLS).within(most),
            ]
        };
        let mut cache = vec![
            sums("directors that send to it", zone, "", "target").on("rings by zone"),
            sums("lookups", lookups, SECOND, quarters).on("rings by zone"),
        ];
        cache.extend(connections(zone));
        let mut parent =
            vec![sums("directors that may send to it", t.directors, "", "target").on("one ring of all")];
        parent.extend(connections(t.directors));
        let line = vec![
            sums("relays asked by `relay show`", t.machines, "", "target").on(FEED),
            sums("readers merged, 100 bytes each", 100.0 * t.directors, "B", "target").on(FEED),
        ];
        vec![("cache", cache), ("parent", parent), ("command line", line)]
    }

    fn path(&self) -> Vec<Part> {
        let (t, a) = (&self.target, &self.assumed);
        let mean = t.lookups / t.directors;
        let bytes = t.bits / t.directors / 8.0;
        let full = bytes / a.body;
        let bodies = self.slope("real-body-time") / 1024.0 / 1e4;
        let mut rows = Vec::new();
        for (name, rate) in [("mean", mean), ("busiest", mean * t.busiest)] {
            let row = |what: &str, unit, cost| {
                let what = format!("{name}, {} lookups a second: {what}", three(rate));
                sums(what, self.at(cost, rate), unit, cost)
            };
            rows.push(row("processor", CORE, "real-lookup-time").within(100.0));
            rows.push(row("memory", "B", "real-lookup-memory"));
            let open = row("descriptors, 8 clients and 9 nodes", "", "real-lookup-descriptors");
            rows.push(open.within(a.descriptors));
        }
        let ways = 0.25 * t.nodes + 0.75 * t.nodes / t.zones;
        let limits = "target, `body`";
        let passing = self.at("real-lookup-time", full) + bytes * bodies;
        rows.extend([
            sums("connections, one to each parent and to the zone's caches", ways, "", "target, `links`")
                .within(a.descriptors / 2.0 - 16.0),
            sums("bodies a director, out, and as many in", 8.0 * bytes, "bit/s", "target"),
            sums("bytes of a lookup in the mean", bytes / mean, "B", limits).within(a.body),
            sums(
                "what bodies of the largest size come to at the mean rate",
                8.0 * mean * a.body,
                "bit/s",
                limits,
            ),
            sums("lookups of the largest body that the bytes would take", full, SECOND, limits),
            sums("processor for those, on loopback", passing, CORE, "real-lookup-time, real-body-time")
                .within(100.0),
        ]);
        vec![("ordinary path", rows)]
    }

    fn module(&self) -> Vec<Part> {
        let t = &self.target;
        let seen = |what: &str, size, unit, name| self.seen(what, size, unit, name);
        let mut rows = Vec::new();
        for (call, name) in
            [("route", "module-route"), ("after", "module-after"), ("patience", "module-patience")]
        {
            for nodes in [10.0, 100.0, t.nodes] {
                let took = self.measured(name, nodes) / 1e3;
                rows.push(run(format!("{call} with {nodes:.0} nodes"), Some(took), "us", name));
            }
        }
        let purge = self.at("module-purge-known", self.binding());
        let memory = self.slope("module-purge-memory") * self.binding();
        let places = "virtual nodes on the ring of parents, a quarter of the nodes";
        rows.extend([
            seen("a change of a parent: its ring built again", t.nodes, "us", "module-change-parent"),
            seen("a change of a cache of another zone", t.nodes, "us", "module-change-cache"),
            seen("a zone's loss, 8 changes by 8 events", t.nodes, "us", "module-zone-loss"),
            seen("a zone's loss, 8 changes by one event", t.nodes, "us", "module-zone-loss-at-once"),
            sums("a purge, with as many known as bind", purge, "us", "module-purge-known"),
            seen("all purges", t.purges, CORE, "module-purge-rate"),
            seen("ten times the purges", 10.0 * t.purges, CORE, "module-purge-rate"),
            sums(places, 256.0 * 0.25 * t.nodes, "", "target, `VIRTUAL_NODES`"),
            seen("memory, endpoint list and rings", t.nodes, "B", "module-memory"),
            sums("memory of the purges that bind", memory, "B", "module-purge-memory"),
        ]);
        vec![("module", rows.into_iter().map(|row| row.on("`src/`")).collect())]
    }

    fn starts(&self) -> Vec<Part> {
        let (t, a, purge) = (&self.target, &self.assumed, 1e6 * self.budget.purge_s);
        let (base, region) = (self.base(), t.directors / t.regions);
        let untold = t.purges * t.cut_s;
        let hour = untold * self.slope("feed-purge-bytes") + self.at("feed-list-bytes", t.nodes);
        let link = |bytes: f64| 8.0 * bytes / a.machine_link * 1e6;
        let took = |purges: f64| {
            let us = 1e3 * self.at("real-told-time", purges);
            sums("processor, a director", us, "us", "real-told-time").within(purge)
        };
        let told = |what: &str, bytes: f64| sums(what, bytes, "B", BASE_BYTES).on(FEED);
        let time = |what: &str, bytes: f64| sums(what, link(bytes), "us", WIRE).within(purge);
        let all = t.directors * base;
        let eight = 8.0 * self.slope("feed-change-bytes");
        let taken = 8.0 * self.slope("feed-change-time") + self.measured("module-zone-loss", t.nodes);
        let star = "feed-purge-bytes, feed-list-bytes";
        vec![
            ("one director begins", vec![told("told", base), took(self.kept())]),
            (
                "a region's begin",
                vec![told("told", region * base), time("time, all at one relay", region * base).on(FEED)],
            ),
            (
                "all begin at once",
                vec![
                    told("told", all),
                    time("time, from one source", all).on(STAR),
                    time("time, from 13 relays", all / t.machines).on(FEED),
                ],
            ),
            ("restarts of a day", vec![told("told", t.restarts_a_day * base)]),
            (
                "a zone lost",
                vec![
                    sums("told: 8 changes, a director", eight, "B", "feed-change-bytes").on(FEED),
                    sums(
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
                    sums("purges untold", untold, "", "target").on(STAR),
                    sums("told, a director", hour, "B", star).on(STAR),
                    sums("told, a region", region * hour, "B", star).on(STAR),
                    time("time, a region from one source", region * hour).on(STAR),
                    took(untold).on(STAR),
                ],
            ),
            (
                "after the hour, relays",
                vec![
                    sums("purges told", self.kept(), "", "target x (binds-s + slack-s)").on(FEED),
                    told("told, a director", base),
                    told("told, a region", region * base),
                    time("time, a region from one relay", region * base).on(FEED),
                    took(self.kept()).on(FEED),
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
            let line = format!("{who}: {}", row.what);
            match (row.value, row.budget) {
                (None, _) => open.push(line),
                (Some(v), Some(b)) if v > b => past.push(line),
                _ => {}
            }
        }
        (past, open)
    }

    fn sections(&self) -> Vec<(&'static str, Vec<Part>)> {
        vec![
            ("A director's control", self.director()),
            ("Voters and owners of duties", self.voter()),
            ("Source and relays", self.source()),
            ("Until in force everywhere", self.in_force()),
            ("Cache nodes and parents as far as directors cause it; the command line", self.nodes()),
            ("The ordinary path", self.path()),
            ("The module with all nodes listed", self.module()),
            ("At starts, at failures, after the hour", self.starts()),
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
                let value = row.value.map_or("-".into(), |v| amount(v, row.unit));
                let from = match (row.measured, row.value) {
                    (true, None) => format!("waits for `{}`", row.from),
                    (true, Some(_)) => format!("measured: `{}`", row.from),
                    (false, _) => format!("arithmetic: {}", row.from),
                };
                let (what, by, state) = (&row.what, row.mechanism, row.state());
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
        for s in self.order.iter().filter_map(|name| self.slopes.get(name)) {
            let ends = |p: Option<&(f64, f64)>| {
                p.map_or("-".into(), |p| format!("{} at {}", short(p.1), three(p.0)))
            };
            let bend = if s.bend > 0.0 { format!("at {}", three(s.bend)) } else { "no".into() };
            let again = s.command.as_ref().map_or(String::new(), |c| format!("; `{c}`"));
            line(format_args!(
                "| `{}` | {} over {} | {} | {} | {:.0}% | {bend} | {}, {} | {}{again} |",
                s.name,
                s.unit,
                s.over,
                short(s.slope),
                short(s.intercept),
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
            let value = f.value.map_or("not measured yet".into(), |v| amount(v, &f.unit));
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
pub fn between(page: &str, tables: &str) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN)?;
    let (_, after) = rest.split_once(END)?;
    Some(format!("{before}{BEGIN}\n{tables}{END}{after}"))
}
