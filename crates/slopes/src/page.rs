//! The tables of the page, from the sheet.

use std::fmt::Write;

use crate::cost::short;
use crate::sheet::Sheet;

/// Where a figure of the page comes from.
enum By {
    /// Measured by the run of that name.
    Run(&'static str),
    /// Worked out: from these slopes and limits.
    Sums(&'static str),
}

struct Row {
    role: &'static str,
    what: String,
    value: Option<f64>,
    unit: &'static str,
    by: By,
    /// What carries it.
    mechanism: &'static str,
    budget: Option<f64>,
}

impl Row {
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
const DUTY: &str = "duties (`crates/duty`) among the 13";
const ALL_MEMBERS: &str = "none: all directors as members";

impl Sheet {
    fn director(&self) -> Vec<Row> {
        let (t, b) = (&self.target, &self.budget);
        let row = |what: &str, value, unit, by, mechanism, budget| Row {
            role: "director",
            what: what.into(),
            value: Some(value),
            unit,
            by,
            mechanism,
            budget,
        };
        let scale = |what: &str, name: &'static str, unit, budget| Row {
            role: "director",
            what: what.into(),
            value: self.figure(name),
            unit,
            by: By::Run(name),
            mechanism: FEED,
            budget: Some(budget),
        };
        let own = t.purges + self.changes() + 1.0;
        let batched = self.batches() + 1.0;
        let change = self.changes() * self.slope("real-change-time");
        let star = self.measured("real-purge-time", t.purges) + change;
        vec![
            row("state: nodes listed", t.nodes, "", By::Sums("target"), "", None),
            row("state: purges that bind", self.binding(), "", By::Sums("target x binds-s"), "", None),
            row("messages heard, one each", own, "a second", By::Sums("target"), STAR, None),
            row("messages heard, in batches", batched, "a second", By::Sums("batch-ms"), FEED, None),
            row(
                "bytes, one event a packet",
                self.told(own, self.assumed.comment),
                "B/s",
                By::Sums("feed-purge-bytes, feed-change-bytes, heads"),
                STAR,
                Some(b.bytes),
            ),
            row(
                "bytes, in batches, in force told",
                self.told(batched, self.assumed.comment) + self.words(),
                "B/s",
                By::Sums("feed-purge-bytes, feed-change-bytes, heads"),
                FEED,
                Some(b.bytes),
            ),
            scale("bytes, measured, without packet heads", "scale-director-bytes", "B/s", b.bytes),
            scale("bytes, measured, heads by arithmetic", "scale-director-heads", "B/s", b.bytes),
            row(
                "processor, one event a packet",
                star,
                "% of a core",
                By::Sums("real-purge-time, real-change-time"),
                STAR,
                Some(b.core),
            ),
            row(
                "processor, in batches",
                self.at("real-batch-time", self.batches()) + change,
                "% of a core",
                By::Sums("real-batch-time, real-change-time"),
                FEED,
                Some(b.core),
            ),
            scale("processor, measured", "scale-director-core", "% of a core", b.core),
            row(
                "memory of a director at rest",
                self.at("real-told-memory", self.binding()),
                "B",
                By::Sums("real-told-memory"),
                "",
                Some(1e6 * b.memory_mb),
            ),
            scale("memory, measured", "scale-director-memory", "B", 1e6 * b.memory_mb),
            row(
                "ten times the purges and changes: bytes, in batches",
                10.0 * self.events() + self.told(batched, self.assumed.comment) - self.events()
                    + self.words(),
                "B/s",
                By::Sums("feed-purge-bytes, feed-change-bytes, heads"),
                FEED,
                Some(b.bytes),
            ),
            row(
                "ten times the purges and changes: processor, one event a packet",
                self.measured("real-purge-time", 10.0 * t.purges) + 10.0 * change,
                "% of a core",
                By::Sums("real-purge-time, real-change-time"),
                STAR,
                Some(b.core),
            ),
            row(
                "bytes as a member of duties, words alone",
                self.at("duties-member-bytes", t.directors),
                "B/s",
                By::Sums("duties-member-bytes"),
                ALL_MEMBERS,
                Some(b.bytes),
            ),
            row(
                "the same with all nodes probed once a second",
                self.at("duties-facts-bytes", t.nodes),
                "B/s",
                By::Sums("duties-facts-bytes, with the feed's beside it"),
                ALL_MEMBERS,
                Some(b.bytes - self.told(batched, self.assumed.comment)),
            ),
            row(
                "time of a change of the deal, at each member",
                self.measured("duties-share-time", t.directors),
                "us",
                By::Sums("duties-share-time"),
                ALL_MEMBERS,
                None,
            ),
        ]
    }

    fn voter(&self) -> Vec<Row> {
        let (t, b) = (&self.target, &self.budget);
        let mut rows = Vec::new();
        for (members, mechanism) in [(t.directors, ALL_MEMBERS), (t.machines, DUTY)] {
            let mut row = |what: String, value, unit, by, budget| {
                rows.push(Row { role: "voter", what, value: Some(value), unit, by, mechanism, budget });
            };
            let core = Some(if members == t.directors { b.core } else { b.machine_core });
            let machine = Some(b.machine_core);
            let of = |what: &str| format!("{} members: {what}", three(members));
            row(
                of("calls"),
                self.at("duties-voter-calls", members),
                "a second",
                By::Sums("duties-voter-calls"),
                None,
            );
            row(
                of("bytes, words alone"),
                self.measured("duties-voter-bytes", members),
                "B/s",
                By::Sums("duties-voter-bytes"),
                None,
            );
            row(
                of("own code"),
                self.measured("duties-voter-time", members),
                "% of a core",
                By::Sums("duties-voter-time"),
                machine,
            );
            row(
                of("processor with sockets, a voter that is a director or relay"),
                self.at("lab-voter-time", members),
                "% of a core",
                By::Sums("lab-voter-time"),
                core,
            );
            row(
                of("processor with sockets, the owner that deals, on a machine of its own"),
                self.at("lab-dealer-time", members),
                "% of a core",
                By::Sums("lab-dealer-time"),
                machine,
            );
            row(
                of("the deal told whole"),
                self.at("duties-roster-bytes", members),
                "B",
                By::Sums("duties-roster-bytes"),
                None,
            );
        }
        rows
    }

    fn source(&self) -> Vec<Row> {
        let (t, a) = (&self.target, &self.assumed);
        let own = t.purges + self.changes() + 1.0;
        let batched = self.batches() + 1.0;
        let star = t.directors * self.told(own, a.comment);
        let below = t.directors / t.machines;
        let told = self.told(batched, a.comment) + self.words();
        let link = Some(a.machine_link / 8.0);
        let core = Some(self.budget.machine_core);
        let row = |role, what: &str, value, unit, by, mechanism, budget| Row {
            role,
            what: what.into(),
            value,
            unit,
            by,
            mechanism,
            budget,
        };
        let sums = By::Sums;
        let log = self.base();
        let (s, o, r) = ("source, star", "owner relay", "plain relay");
        let d = Some(a.connections);
        vec![
            row(s, "connections", Some(t.directors), "", sums("target"), STAR, d),
            row(s, "messages told", Some(t.directors * own), "a second", sums("target"), STAR, None),
            row(s, "bytes, both ways", Some(star), "B/s", sums("feed-purge-bytes, heads"), STAR, link),
            row(
                s,
                "processor",
                self.figure("scale-star-source-core"),
                "% of a core",
                By::Run("scale-star-source-core"),
                STAR,
                core,
            ),
            row(
                o,
                "state: log and base",
                Some(log),
                "B",
                sums("feed-list-bytes, feed-purge-bytes, binds-s, slack-s"),
                FEED,
                None,
            ),
            row(
                o,
                "readers, if it has its part of the directors",
                Some(below + t.machines - 1.0),
                "",
                sums("target"),
                FEED,
                d,
            ),
            row(
                o,
                "entries kept at a majority",
                Some(self.batches()),
                "a second",
                sums("batch-ms"),
                FEED,
                None,
            ),
            row(
                o,
                "bytes with other relays",
                self.figure("scale-owner-bytes"),
                "B/s",
                By::Run("scale-owner-bytes"),
                FEED,
                link,
            ),
            row(
                o,
                "processor",
                self.figure("scale-owner-core"),
                "% of a core",
                By::Run("scale-owner-core"),
                FEED,
                core,
            ),
            row(
                o,
                "memory",
                self.figure("scale-owner-memory"),
                "B",
                By::Run("scale-owner-memory"),
                FEED,
                None,
            ),
            row(r, "readers", Some(below), "", sums("target"), FEED, d),
            row(r, "messages told", Some(below * batched), "a second", sums("batch-ms"), FEED, None),
            row(r, "calls answered", Some(below * 1e3 / a.ack_ms), "a second", sums("ack-ms"), FEED, None),
            row(
                r,
                "bytes to directors, both ways",
                Some(below * told),
                "B/s",
                sums("feed-purge-bytes, feed-change-bytes, heads"),
                FEED,
                link,
            ),
            row(
                r,
                "bytes with other relays",
                self.figure("scale-relay-bytes"),
                "B/s",
                By::Run("scale-relay-bytes"),
                FEED,
                link,
            ),
            row(
                r,
                "processor",
                self.figure("scale-relay-core"),
                "% of a core",
                By::Run("scale-relay-core"),
                FEED,
                core,
            ),
            row(
                r,
                "memory",
                self.figure("scale-relay-memory"),
                "B",
                By::Run("scale-relay-memory"),
                FEED,
                None,
            ),
            row(
                r,
                "readers while five of the machines are lost",
                Some(t.directors / (t.machines - 5.0)),
                "",
                sums("target"),
                FEED,
                d,
            ),
        ]
    }

    fn nodes(&self) -> Vec<Row> {
        let (t, a) = (&self.target, &self.assumed);
        let zone = t.directors / t.zones;
        let caches = 0.75 * t.nodes / t.zones;
        let most = (a.descriptors / 16.0).max(4.0);
        let row = |role, what: &str, value, unit, by, mechanism, budget| Row {
            role,
            what: what.into(),
            value: Some(value),
            unit,
            by,
            mechanism,
            budget,
        };
        let d = Some(a.descriptors);
        let links = By::Sums;
        let pools = "pools of connections (`wire/nodes.rs`)";
        vec![
            row("cache", "directors that send to it", zone, "", links("target"), "pies by zone", None),
            row(
                "cache",
                "lookups",
                t.lookups / t.zones / caches,
                "a second",
                links("target, three quarters of the nodes caches"),
                "pies by zone",
                None,
            ),
            row("cache", "connections, one of each director", zone, "", links("target"), pools, d),
            row("cache", "connections at most", zone * most, "", links("`links_a_node`"), pools, d),
            row(
                "parent",
                "directors that may send to it",
                t.directors,
                "",
                links("target"),
                "one pie of all",
                None,
            ),
            row("parent", "connections, one of each director", t.directors, "", links("target"), pools, d),
            row("parent", "connections at most", t.directors * most, "", links("`links_a_node`"), pools, d),
            row("command line", "relays asked by `relay show`", t.machines, "", links("target"), FEED, None),
            row(
                "command line",
                "readers merged, 100 bytes each",
                100.0 * t.directors,
                "B",
                links("target"),
                FEED,
                None,
            ),
        ]
    }

    fn path(&self) -> Vec<Row> {
        let (t, a) = (&self.target, &self.assumed);
        let mean = t.lookups / t.directors;
        let busiest = mean * t.busiest;
        let bits = t.bits / t.directors;
        let bytes = bits / 8.0;
        let full = bytes / a.body;
        let of_body = self.slope("real-body-time") / 1024.0;
        let row = |what: String, value, unit, by, budget| Row {
            role: "ordinary path",
            what,
            value: Some(value),
            unit,
            by,
            mechanism: "",
            budget,
        };
        let core = Some(100.0);
        let mut rows = Vec::new();
        for (name, rate) in [("mean", mean), ("busiest", busiest)] {
            let at = |what: &str| format!("{name}, {} lookups a second: {what}", three(rate));
            let by = By::Sums;
            rows.push(row(
                at("processor"),
                self.at("real-lookup-time", rate),
                "% of a core",
                by("real-lookup-time"),
                core,
            ));
            rows.push(row(
                at("memory"),
                self.at("real-lookup-memory", rate),
                "B",
                by("real-lookup-memory"),
                None,
            ));
            rows.push(row(
                at("descriptors, 8 clients and 9 nodes"),
                self.at("real-lookup-descriptors", rate),
                "",
                by("real-lookup-descriptors"),
                Some(a.descriptors),
            ));
        }
        rows.push(row(
            "connections, one to each parent and to the zone's caches".into(),
            0.25 * t.nodes + 0.75 * t.nodes / t.zones,
            "",
            By::Sums("target, `links`"),
            Some(a.descriptors / 2.0 - 16.0),
        ));
        rows.push(row(
            "bodies a director, out, and as many in".into(),
            bits,
            "bit/s",
            By::Sums("target"),
            None,
        ));
        rows.push(row(
            "bytes of a lookup in the mean".into(),
            bytes / mean,
            "B",
            By::Sums("target, `body`"),
            Some(a.body),
        ));
        rows.push(row(
            "what bodies of the largest size come to at the mean rate".into(),
            8.0 * mean * a.body,
            "bit/s",
            By::Sums("target, `body`"),
            None,
        ));
        rows.push(row(
            "lookups of the largest body that the bytes would take".into(),
            full,
            "a second",
            By::Sums("target, `body`"),
            None,
        ));
        rows.push(row(
            "processor for those, on loopback".into(),
            self.at("real-lookup-time", full) + bytes * of_body / 1e4,
            "% of a core",
            By::Sums("real-lookup-time, real-body-time"),
            core,
        ));
        rows
    }

    fn module(&self) -> Vec<Row> {
        let t = &self.target;
        let row = |what: &str, value, unit, by| Row {
            role: "module",
            what: what.into(),
            value: Some(value),
            unit,
            by: By::Run(by),
            mechanism: "`src/choice.rs`",
            budget: None,
        };
        let mut rows = Vec::new();
        for (what, name) in
            [("route", "module-route"), ("after", "module-after"), ("patience", "module-patience")]
        {
            for nodes in [10.0, 100.0, t.nodes] {
                let text = format!("{what} with {nodes:.0} nodes");
                rows.push(row(&text, self.measured(name, nodes) / 1e3, "us", name));
            }
        }
        let changes = [
            ("a change of a parent: its pie dealt anew", "module-change-parent"),
            ("a change of a cache of another zone", "module-change-cache"),
            ("a zone's loss, 8 changes by 8 events", "module-zone-loss"),
            ("a zone's loss, 8 changes by one event", "module-zone-loss-at-once"),
        ];
        rows.extend(changes.map(|(what, name)| row(what, self.measured(name, t.nodes), "us", name)));
        rows.push(row(
            "a purge, with as many known as bind",
            self.at("module-purge-known", self.binding()),
            "us",
            "module-purge-known",
        ));
        rows.push(row(
            "all purges",
            self.measured("module-purge-rate", t.purges),
            "% of a core",
            "module-purge-rate",
        ));
        rows.push(row(
            "ten times the purges",
            self.measured("module-purge-rate", 10.0 * t.purges),
            "% of a core",
            "module-purge-rate",
        ));
        rows.push(Row {
            role: "module",
            what: "places in the pie of parents, a quarter of the nodes".into(),
            value: Some(256.0 * 0.25 * t.nodes),
            unit: "",
            by: By::Sums("target, `SLICES`"),
            mechanism: "`src/choice.rs`",
            budget: None,
        });
        rows.push(row(
            "memory, list and pies",
            self.measured("module-memory", t.nodes),
            "B",
            "module-memory",
        ));
        rows.push(row(
            "memory of the purges that bind",
            self.slope("module-purge-memory") * self.binding(),
            "B",
            "module-purge-memory",
        ));
        rows
    }

    fn starts(&self) -> Vec<Row> {
        let (t, a, b) = (&self.target, &self.assumed, &self.budget);
        let base = self.base();
        let region = t.directors / t.regions;
        let untold = t.purges * t.cut_s;
        let hour = untold * self.slope("feed-purge-bytes") + self.at("feed-list-bytes", t.nodes);
        let link = |bytes: f64| 8.0 * bytes / a.machine_link * 1e6;
        let row = |role, what: &str, value, unit, by, mechanism, budget| Row {
            role,
            what: what.into(),
            value: Some(value),
            unit,
            by: By::Sums(by),
            mechanism,
            budget,
        };
        let bytes = "feed-list-bytes, feed-purge-bytes, binds-s, slack-s";
        let wire = "the bytes over machine-link";
        let purge = Some(1e6 * b.purge_s);
        let one = "one director begins";
        let (reg, all) = ("a region's begin", "all begin at once");
        let (star, relay) = ("after the hour, star", "after the hour, relays");
        vec![
            row(one, "told", base, "B", bytes, FEED, None),
            row(
                one,
                "processor",
                1e3 * self.at("real-told-time", self.kept()),
                "us",
                "real-told-time",
                "",
                purge,
            ),
            row(reg, "told", region * base, "B", bytes, FEED, None),
            row(reg, "time, all at one relay", link(region * base), "us", wire, FEED, purge),
            row(all, "told", t.directors * base, "B", bytes, FEED, None),
            row(all, "time, from one source", link(t.directors * base), "us", wire, STAR, purge),
            row(all, "time, from 13 relays", link(t.directors * base / t.machines), "us", wire, FEED, purge),
            row("restarts of a day", "told", t.restarts_a_day * base, "B", bytes, FEED, None),
            row(
                "a zone lost",
                "told: 8 changes, a director",
                8.0 * self.slope("feed-change-bytes"),
                "B",
                "feed-change-bytes",
                FEED,
                None,
            ),
            row(
                "a zone lost",
                "read and taken in by the module",
                8.0 * self.slope("feed-change-time") + self.measured("module-zone-loss", t.nodes),
                "us",
                "feed-change-time, module-zone-loss",
                "",
                None,
            ),
            row(star, "purges untold", untold, "", "target", STAR, None),
            row(star, "told, a director", hour, "B", "feed-purge-bytes, feed-list-bytes", STAR, None),
            row(star, "told, a region", region * hour, "B", "feed-purge-bytes, feed-list-bytes", STAR, None),
            row(star, "time, a region from one source", link(region * hour), "us", wire, STAR, purge),
            row(
                star,
                "processor, a director",
                1e3 * self.at("real-told-time", untold),
                "us",
                "real-told-time",
                STAR,
                purge,
            ),
            row(relay, "purges told", self.kept(), "", "target x (binds-s + slack-s)", FEED, None),
            row(relay, "told, a director", base, "B", bytes, FEED, None),
            row(relay, "told, a region", region * base, "B", bytes, FEED, None),
            row(relay, "time, a region from one relay", link(region * base), "us", wire, FEED, purge),
            row(
                relay,
                "processor, a director",
                1e3 * self.at("real-told-time", self.kept()),
                "us",
                "real-told-time",
                FEED,
                purge,
            ),
        ]
    }

    fn in_force(&self) -> Vec<Row> {
        let b = &self.budget;
        let row = |what: &str, name, mechanism, budget: f64| Row {
            role: "in force everywhere",
            what: what.into(),
            value: self.figure(name),
            unit: "s",
            by: By::Run(name),
            mechanism,
            budget: Some(budget),
        };
        vec![
            row("a purge, the most", "scale-purge-most", FEED, b.purge_s),
            row("a change, the most", "scale-change-most", FEED, b.change_s),
            row("a purge on the star, the most", "scale-star-purge-most", STAR, b.purge_s),
        ]
    }

    /// The rows that are past their budget, and those that wait for a run.
    pub fn verdicts(&self) -> (Vec<String>, Vec<String>) {
        let all = self.sections().into_iter().flat_map(|(_, rows)| rows);
        let (mut past, mut open) = (Vec::new(), Vec::new());
        for row in all {
            let line = format!("{}: {}", row.role, row.what);
            match (row.value, row.budget) {
                (None, _) => open.push(line),
                (Some(v), Some(b)) if v > b => past.push(line),
                _ => {}
            }
        }
        (past, open)
    }

    fn sections(&self) -> Vec<(&'static str, Vec<Row>)> {
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
        for (title, rows) in self.sections() {
            line(format_args!("\n### {title}\n"));
            line(format_args!("| who, when | what | figure | from | carried by | margin to budget |"));
            line(format_args!("| --- | --- | --- | --- | --- | --- |"));
            for row in rows {
                let value = row.value.map_or("-".into(), |v| amount(v, row.unit));
                let from = match row.by {
                    By::Run(name) if row.value.is_none() => format!("waits for `{name}`"),
                    By::Run(name) => format!("measured: `{name}`"),
                    By::Sums(names) => format!("arithmetic: {names}"),
                };
                line(format_args!(
                    "| {} | {} | {value} | {from} | {} | {} |",
                    row.role,
                    row.what,
                    row.mechanism,
                    row.state()
                ));
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
