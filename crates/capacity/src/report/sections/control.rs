//! What purges, changes and coordination cost directors, voters, the source and the relays.

use super::{
    ALL_MEMBERS, BASE_BYTES, COORDINATION, FEED_BYTES, PER_SECOND, PERCENT_OF_CORE, RELAYS, STAR, Section,
};
use crate::model::CapacityModel;
use crate::report::row::{Row, calculated, format_three_digits};

impl CapacityModel {
    pub(super) fn director_sections(&self) -> Vec<Section> {
        let (t, b, comment) = (&self.target, &self.budget, self.assumptions.comment);
        let (own, batched) = (t.purges + self.changes_per_s() + 1.0, self.batches_per_s() + 1.0);
        let change = self.changes_per_s() * self.slope("real-change-time");
        let star = self.measured_or_predicted("real-purge-time", t.purges) + change;
        let relays = self.predict("real-batch-time", self.batches_per_s()) + change;
        let stream_bytes = self.subscriber_bytes_per_s(batched, comment) + self.reconnect_bytes_per_s();
        let memory = 1e6 * b.memory_mb;
        let cpu = "real-purge-time, real-change-time";
        let mut rows = vec![
            calculated("state: nodes listed", t.nodes, "", "target"),
            calculated("state: active purges", self.active_purges(), "", "target x binds-s"),
            calculated("messages received, one event each", own, PER_SECOND, "target").with_mechanism(STAR),
            calculated("messages received, in batches", batched, PER_SECOND, "batch-ms")
                .with_mechanism(RELAYS),
            calculated(
                "bytes, one event a packet",
                self.subscriber_bytes_per_s(own, comment),
                "B/s",
                FEED_BYTES,
            )
            .with_mechanism(STAR)
            .with_budget(b.bytes),
            calculated("bytes, in batches, with reports of what is applied", stream_bytes, "B/s", FEED_BYTES)
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
        ];
        rows.extend(self.tenfold_rows());
        rows.extend(self.all_members_rows());
        vec![("director", rows)]
    }

    /// A director's discovery with ten times the purges and changes of the target.
    fn tenfold_rows(&self) -> [Row; 2] {
        let (t, b, comment) = (&self.target, &self.budget, self.assumptions.comment);
        let batched = self.batches_per_s() + 1.0;
        let change = self.changes_per_s() * self.slope("real-change-time");
        let stream_bytes = self.subscriber_bytes_per_s(batched, comment) + self.reconnect_bytes_per_s();
        let cpu = "real-purge-time, real-change-time";
        let ten = "ten times the purges and changes";
        let tenfold = self.measured_or_predicted("real-purge-time", 10.0 * t.purges) + 10.0 * change;
        [
            calculated(
                format!("{ten}: bytes, in batches"),
                stream_bytes + 9.0 * self.event_bytes_per_s(),
                "B/s",
                FEED_BYTES,
            )
            .with_mechanism(RELAYS)
            .with_budget(b.bytes),
            calculated(format!("{ten}: processor, one event a packet"), tenfold, PERCENT_OF_CORE, cpu)
                .with_mechanism(STAR)
                .with_budget(b.core),
        ]
    }

    /// A director as one of the members, if all directors were members.
    fn all_members_rows(&self) -> [Row; 3] {
        let (t, b, comment) = (&self.target, &self.budget, self.assumptions.comment);
        let batched = self.batches_per_s() + 1.0;
        let probed = self.predict("duties-facts-bytes", t.nodes);
        let facts = "duties-facts-bytes, beside the bytes of discovery";
        let share = "time of a change of the assignment, at each member";
        [
            calculated(
                "bytes as a member of coordination, messages alone",
                self.predict("duties-member-bytes", t.directors),
                "B/s",
                "duties-member-bytes",
            )
            .with_mechanism(ALL_MEMBERS)
            .with_budget(b.bytes),
            calculated("the same with all nodes checked once a second", probed, "B/s", facts)
                .with_mechanism(ALL_MEMBERS)
                .with_budget(b.bytes - self.subscriber_bytes_per_s(batched, comment)),
            self.slope_row(share, t.directors, "us", "duties-share-time").with_mechanism(ALL_MEMBERS),
        ]
    }

    pub(super) fn voter_sections(&self) -> Vec<Section> {
        let (t, machine) = (&self.target, self.budget.machine_core);
        let of = |members: f64, mechanism: &'static str, core: f64| {
            let name = |what: &str| format!("{} members: {what}", format_three_digits(members));
            let seen = |what: &str, unit, cost| {
                self.slope_row(name(what), members, unit, cost).with_mechanism(mechanism)
            };
            let voter = "processor with sockets, a voter that is a director or relay";
            let dealer = "processor with sockets, holder of the assignment role, on a machine of its own";
            let in_rig = "processor of a voter in the fleet trial, with its targets and a few lookups";
            let deals_in_rig = "processor of the holder of the assignment role in the fleet trial";
            let clients = (self.assumptions.descriptors / 3.0).floor() + 8.0;
            [
                seen("calls", PER_SECOND, "duties-voter-calls"),
                seen("bytes, messages alone", "B/s", "duties-voter-bytes"),
                seen("own code", PERCENT_OF_CORE, "duties-voter-time").with_budget(machine),
                seen(voter, PERCENT_OF_CORE, "real-voter-time").with_budget(core),
                seen(in_rig, PERCENT_OF_CORE, "lab-voter-time").with_budget(core),
                seen(dealer, PERCENT_OF_CORE, "real-dealer-time").with_budget(machine),
                seen(deals_in_rig, PERCENT_OF_CORE, "lab-dealer-time").with_budget(machine),
                seen("the complete assignment", "B", "duties-roster-bytes"),
                calculated(name("connections of a director that votes"), members, "", "target, `clients`")
                    .with_mechanism(mechanism)
                    .with_budget(clients),
            ]
        };
        let all = of(t.directors, ALL_MEMBERS, self.budget.core);
        vec![("voter", all.into_iter().chain(of(t.machines, COORDINATION, machine)).collect())]
    }

    pub(super) fn source_sections(&self) -> Vec<Section> {
        let (t, a, core) = (&self.target, &self.assumptions, self.budget.machine_core);
        let (own, batched) = (t.purges + self.changes_per_s() + 1.0, self.batches_per_s() + 1.0);
        let below = t.directors / t.machines;
        let stream_bytes = self.subscriber_bytes_per_s(batched, a.comment) + self.reconnect_bytes_per_s();
        let star = t.directors * self.subscriber_bytes_per_s(own, a.comment);
        let (link, most) = (a.machine_link / 8.0, a.connections);
        let source = vec![
            calculated("connections", t.directors, "", "target").with_mechanism(STAR).with_budget(most),
            calculated("messages sent", t.directors * own, PER_SECOND, "target").with_mechanism(STAR),
            calculated("bytes, both ways", star, "B/s", "feed-purge-bytes, heads")
                .with_mechanism(STAR)
                .with_budget(link),
            self.figure_row("processor", PERCENT_OF_CORE, "scale-star-source-core")
                .with_mechanism(STAR)
                .with_budget(core),
        ];
        let readers = "subscribers, if it has its share of the directors";
        let owner = vec![
            calculated("state: log and snapshot", self.snapshot_bytes(), "B", BASE_BYTES)
                .with_mechanism(RELAYS),
            calculated(readers, below + t.machines - 1.0, "", "target")
                .with_mechanism(RELAYS)
                .with_budget(most),
            calculated("entries replicated to a majority", self.batches_per_s(), PER_SECOND, "batch-ms")
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
            calculated("subscribers", below, "", "target").with_mechanism(RELAYS).with_budget(most),
            calculated("messages sent", below * batched, PER_SECOND, "batch-ms").with_mechanism(RELAYS),
            calculated("calls answered", below * 1e3 / a.ack_ms, PER_SECOND, "ack-ms").with_mechanism(RELAYS),
            calculated("bytes to directors, both ways", below * stream_bytes, "B/s", FEED_BYTES)
                .with_mechanism(RELAYS)
                .with_budget(link),
            self.figure_row("bytes with other relays", "B/s", "scale-relay-bytes")
                .with_mechanism(RELAYS)
                .with_budget(link),
            self.figure_row("processor", PERCENT_OF_CORE, "scale-relay-core")
                .with_mechanism(RELAYS)
                .with_budget(core),
            self.figure_row("memory", "B", "scale-relay-memory").with_mechanism(RELAYS),
            calculated("subscribers while five of the machines are lost", lost, "", "target")
                .with_mechanism(RELAYS)
                .with_budget(most),
        ];
        vec![("source, star", source), ("leader relay", owner), ("plain relay", plain)]
    }

    pub(super) fn propagation_sections(&self) -> Vec<Section> {
        let b = &self.budget;
        let rows = vec![
            self.figure_row("a purge, maximum", "s", "scale-purge-most")
                .with_mechanism(RELAYS)
                .with_budget(b.purge_s),
            self.figure_row("a change, maximum", "s", "scale-change-most")
                .with_mechanism(RELAYS)
                .with_budget(b.change_s),
            self.figure_row("a purge on the star, maximum", "s", "scale-star-purge-most")
                .with_mechanism(STAR)
                .with_budget(b.purge_s),
        ];
        vec![("applied everywhere", rows)]
    }
}
