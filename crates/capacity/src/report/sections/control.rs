//! Rows about the cost of purges, changes and coordination for directors, voters, the source and the relays.

use super::{
    ALL_MEMBERS, COORDINATION, FEED_BYTES, PER_SECOND, PERCENT_OF_CORE, RELAYS, SNAPSHOT_BYTES, STAR, Section,
};
use crate::model::CapacityModel;
use crate::report::row::{Row, calculated, format_three_digits};

impl CapacityModel {
    pub(super) fn director_sections(&self) -> Vec<Section> {
        let (t, b, comment) = (&self.target, &self.budget, self.assumptions.comment);
        let (unbatched_messages, batched_messages) =
            (t.purges + self.changes_per_s() + 1.0, self.batches_per_s() + 1.0);
        let change_cpu = self.changes_per_s() * self.slope("real-change-time");
        let star_cpu = self.measured_or_predicted("real-purge-time", t.purges) + change_cpu;
        let relay_cpu = self.predict("real-batch-time", self.batches_per_s()) + change_cpu;
        let stream_bytes =
            self.subscriber_bytes_per_s(batched_messages, comment) + self.reconnect_bytes_per_s();
        let memory = 1e6 * b.memory_mb;
        let cpu_source = "real-purge-time, real-change-time";
        let mut rows = vec![
            calculated("state: nodes listed", t.nodes, "", "target"),
            calculated("state: active purges", self.active_purges(), "", "target x binds-s"),
            calculated("messages received, one event each", unbatched_messages, PER_SECOND, "target")
                .with_mechanism(STAR),
            calculated("messages received, in batches", batched_messages, PER_SECOND, "batch-ms")
                .with_mechanism(RELAYS),
            calculated(
                "bytes, one event a packet",
                self.subscriber_bytes_per_s(unbatched_messages, comment),
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
            calculated("processor time, one event a packet", star_cpu, PERCENT_OF_CORE, cpu_source)
                .with_mechanism(STAR)
                .with_budget(b.core),
            calculated(
                "processor time, in batches",
                relay_cpu,
                PERCENT_OF_CORE,
                "real-batch-time, real-change-time",
            )
            .with_mechanism(RELAYS)
            .with_budget(b.core),
            self.figure_row("processor time, measured", PERCENT_OF_CORE, "scale-director-core")
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

    /// Returns rows about a director that receives ten times the purges and changes of the target.
    fn tenfold_rows(&self) -> [Row; 2] {
        let (t, b, comment) = (&self.target, &self.budget, self.assumptions.comment);
        let batched_messages = self.batches_per_s() + 1.0;
        let change_cpu = self.changes_per_s() * self.slope("real-change-time");
        let stream_bytes =
            self.subscriber_bytes_per_s(batched_messages, comment) + self.reconnect_bytes_per_s();
        let cpu_source = "real-purge-time, real-change-time";
        let prefix = "ten times the purges and changes";
        let tenfold_cpu = self.measured_or_predicted("real-purge-time", 10.0 * t.purges) + 10.0 * change_cpu;
        [
            calculated(
                format!("{prefix}: bytes, in batches"),
                stream_bytes + 9.0 * self.event_bytes_per_s(),
                "B/s",
                FEED_BYTES,
            )
            .with_mechanism(RELAYS)
            .with_budget(b.bytes),
            calculated(
                format!("{prefix}: processor time, one event a packet"),
                tenfold_cpu,
                PERCENT_OF_CORE,
                cpu_source,
            )
            .with_mechanism(STAR)
            .with_budget(b.core),
        ]
    }

    /// Returns rows about a director as a member of coordination, if all directors were members.
    fn all_members_rows(&self) -> [Row; 3] {
        let (t, b, comment) = (&self.target, &self.budget, self.assumptions.comment);
        let batched_messages = self.batches_per_s() + 1.0;
        let bytes_with_checks = self.predict("duties-facts-bytes", t.nodes);
        let checks_source = "duties-facts-bytes, beside the bytes of discovery";
        let assignment_time = "time of a change of the assignment, at each member";
        [
            calculated(
                "bytes as a member of coordination, messages alone",
                self.predict("duties-member-bytes", t.directors),
                "B/s",
                "duties-member-bytes",
            )
            .with_mechanism(ALL_MEMBERS)
            .with_budget(b.bytes),
            calculated(
                "bytes as a member of coordination, with all nodes checked once a second",
                bytes_with_checks,
                "B/s",
                checks_source,
            )
            .with_mechanism(ALL_MEMBERS)
            .with_budget(b.bytes - self.subscriber_bytes_per_s(batched_messages, comment)),
            self.slope_row(assignment_time, t.directors, "us", "duties-share-time")
                .with_mechanism(ALL_MEMBERS),
        ]
    }

    pub(super) fn voter_sections(&self) -> Vec<Section> {
        let (t, machine_core) = (&self.target, self.budget.machine_core);
        let rows_for = |members: f64, mechanism: &'static str, core: f64| {
            let describe =
                |description: &str| format!("{} members: {description}", format_three_digits(members));
            let row = |description: &str, unit, cost| {
                self.slope_row(describe(description), members, unit, cost).with_mechanism(mechanism)
            };
            let voter_cpu = "processor time with sockets, a voter that is a director or relay";
            let assigner_cpu =
                "processor time with sockets, holder of the assignment role, on a machine of its own";
            let fleet_voter_cpu =
                "processor time of a voter in the fleet trial, with its targets and a few lookups";
            let fleet_assigner_cpu = "processor time of the holder of the assignment role in the fleet trial";
            let client_limit = (self.assumptions.descriptors / 3.0).floor() + 8.0;
            [
                row("calls", PER_SECOND, "duties-voter-calls"),
                row("bytes, messages alone", "B/s", "duties-voter-bytes"),
                row("processor time without sockets", PERCENT_OF_CORE, "duties-voter-time")
                    .with_budget(machine_core),
                row(voter_cpu, PERCENT_OF_CORE, "real-voter-time").with_budget(core),
                row(fleet_voter_cpu, PERCENT_OF_CORE, "lab-voter-time").with_budget(core),
                row(assigner_cpu, PERCENT_OF_CORE, "real-dealer-time").with_budget(machine_core),
                row(fleet_assigner_cpu, PERCENT_OF_CORE, "lab-dealer-time").with_budget(machine_core),
                row("the complete assignment", "B", "duties-roster-bytes"),
                calculated(
                    describe("connections of a director that votes"),
                    members,
                    "",
                    "target, `clients`",
                )
                .with_mechanism(mechanism)
                .with_budget(client_limit),
            ]
        };
        let rows = rows_for(t.directors, ALL_MEMBERS, self.budget.core);
        vec![("voter", rows.into_iter().chain(rows_for(t.machines, COORDINATION, machine_core)).collect())]
    }

    pub(super) fn source_sections(&self) -> Vec<Section> {
        let (t, a, core) = (&self.target, &self.assumptions, self.budget.machine_core);
        let (unbatched_messages, batched_messages) =
            (t.purges + self.changes_per_s() + 1.0, self.batches_per_s() + 1.0);
        let directors_per_relay = t.directors / t.machines;
        let stream_bytes =
            self.subscriber_bytes_per_s(batched_messages, a.comment) + self.reconnect_bytes_per_s();
        let star_bytes = t.directors * self.subscriber_bytes_per_s(unbatched_messages, a.comment);
        let (link_bytes_per_s, max_connections) = (a.machine_link / 8.0, a.connections);
        let source = vec![
            calculated("connections", t.directors, "", "target")
                .with_mechanism(STAR)
                .with_budget(max_connections),
            calculated("messages sent", t.directors * unbatched_messages, PER_SECOND, "target")
                .with_mechanism(STAR),
            calculated("bytes, both ways", star_bytes, "B/s", "feed-purge-bytes, heads")
                .with_mechanism(STAR)
                .with_budget(link_bytes_per_s),
            self.figure_row("processor time", PERCENT_OF_CORE, "scale-star-source-core")
                .with_mechanism(STAR)
                .with_budget(core),
        ];
        let leader_subscribers = "subscribers, with an equal share of the directors and all other relays";
        let leader = vec![
            calculated("state: log and snapshot", self.snapshot_bytes(), "B", SNAPSHOT_BYTES)
                .with_mechanism(RELAYS),
            calculated(leader_subscribers, directors_per_relay + t.machines - 1.0, "", "target")
                .with_mechanism(RELAYS)
                .with_budget(max_connections),
            calculated("entries replicated to a majority", self.batches_per_s(), PER_SECOND, "batch-ms")
                .with_mechanism(RELAYS),
            self.figure_row("bytes with other relays", "B/s", "scale-owner-bytes")
                .with_mechanism(RELAYS)
                .with_budget(link_bytes_per_s),
            self.figure_row("processor time", PERCENT_OF_CORE, "scale-owner-core")
                .with_mechanism(RELAYS)
                .with_budget(core),
            self.figure_row("memory", "B", "scale-owner-memory").with_mechanism(RELAYS),
        ];
        let directors_per_remaining_relay = t.directors / (t.machines - 5.0);
        let plain = vec![
            calculated("subscribers", directors_per_relay, "", "target")
                .with_mechanism(RELAYS)
                .with_budget(max_connections),
            calculated("messages sent", directors_per_relay * batched_messages, PER_SECOND, "batch-ms")
                .with_mechanism(RELAYS),
            calculated("calls answered", directors_per_relay * 1e3 / a.ack_ms, PER_SECOND, "ack-ms")
                .with_mechanism(RELAYS),
            calculated(
                "bytes to directors, both ways",
                directors_per_relay * stream_bytes,
                "B/s",
                FEED_BYTES,
            )
            .with_mechanism(RELAYS)
            .with_budget(link_bytes_per_s),
            self.figure_row("bytes with other relays", "B/s", "scale-relay-bytes")
                .with_mechanism(RELAYS)
                .with_budget(link_bytes_per_s),
            self.figure_row("processor time", PERCENT_OF_CORE, "scale-relay-core")
                .with_mechanism(RELAYS)
                .with_budget(core),
            self.figure_row("memory", "B", "scale-relay-memory").with_mechanism(RELAYS),
            calculated(
                "subscribers while five of the machines are lost",
                directors_per_remaining_relay,
                "",
                "target",
            )
            .with_mechanism(RELAYS)
            .with_budget(max_connections),
        ];
        vec![("source, star", source), ("leader relay", leader), ("plain relay", plain)]
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
