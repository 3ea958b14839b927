//! All costs by name, in the order of docs/CAPACITY.md.

use crate::MeasurementError;
use crate::cost::{Cost, MeasurementKind};
use crate::fit::Point;
use crate::real_director::DirectorCommand;
use crate::{coordination, discovery, real_director, router};

/// Costs that are measured together.
struct CostGroup {
    /// Their names.
    names: &'static [&'static str],
    measure: fn(&MeasurementEnvironment) -> Result<Vec<Cost>, MeasurementError>,
}

/// How the processes are started in which a cost is measured.
pub struct MeasurementEnvironment<'a> {
    /// Measures one size of a cost of memory in a process of its own, whose memory nothing else has touched.
    pub measure_memory: &'a dyn Fn(&str, usize) -> Option<f64>,
    /// Makes the command that starts a director.
    pub director_command: DirectorCommand<'a>,
}

const COST_GROUPS: &[CostGroup] = &[
    CostGroup { names: &["module-purge-known"], measure: |_| Ok(vec![router::measure_known_purges()]) },
    CostGroup { names: &["module-purge-rate"], measure: |_| Ok(vec![router::measure_purge_rate()]) },
    CostGroup {
        names: &[
            "module-change-parent",
            "module-change-cache",
            "module-zone-loss",
            "module-zone-loss-at-once",
        ],
        measure: |_| Ok(router::measure_endpoint_changes()),
    },
    CostGroup {
        names: &["module-route", "module-after", "module-patience"],
        measure: |_| Ok(router::measure_calls()),
    },
    CostGroup { names: &["module-memory"], measure: measure_router_memory },
    CostGroup { names: &["module-purge-memory"], measure: measure_purge_memory },
    CostGroup {
        names: &["feed-purge-bytes", "feed-purge-time"],
        measure: |_| Ok(discovery::measure_purges()),
    },
    CostGroup {
        names: &["feed-change-bytes", "feed-change-time"],
        measure: |_| Ok(discovery::measure_changes()),
    },
    CostGroup { names: &["feed-list-bytes", "feed-list-time"], measure: |_| Ok(discovery::measure_lists()) },
    CostGroup {
        names: &[
            "duties-member-bytes",
            "duties-member-time",
            "duties-voter-calls",
            "duties-voter-bytes",
            "duties-voter-time",
            "duties-dealer-bytes",
            "duties-dealer-time",
        ],
        measure: |_| Ok(coordination::measure_by_members()),
    },
    CostGroup {
        names: &["duties-facts-bytes", "duties-facts-voter-bytes", "duties-facts-voter-time"],
        measure: |_| Ok(coordination::measure_by_targets()),
    },
    CostGroup { names: &["duties-share-time"], measure: |_| Ok(vec![coordination::measure_shares()]) },
    CostGroup {
        names: &["real-purge-time"],
        measure: |w| real_director::measure_purge_rate(w.director_command),
    },
    CostGroup {
        names: &["real-batch-time"],
        measure: |w| real_director::measure_batches(w.director_command),
    },
    CostGroup {
        names: &["real-change-time"],
        measure: |w| real_director::measure_change_rate(w.director_command),
    },
    CostGroup {
        names: &["real-told-time", "real-told-memory"],
        measure: |w| real_director::measure_initial_purges(w.director_command),
    },
    CostGroup {
        names: &["real-start-time", "real-start-memory"],
        measure: |w| real_director::measure_list_starts(w.director_command),
    },
    CostGroup {
        names: &["real-lookup-time", "real-lookup-memory", "real-lookup-descriptors"],
        measure: |w| real_director::measure_lookups(w.director_command),
    },
    CostGroup { names: &["real-body-time"], measure: |w| real_director::measure_bodies(w.director_command) },
    CostGroup {
        names: &["real-voter-time", "real-dealer-time"],
        measure: |w| real_director::measure_voters(w.director_command),
    },
    CostGroup {
        names: &["duties-roster-bytes"],
        measure: |_| Ok(vec![coordination::measure_assignment_bytes()]),
    },
];

fn measure_resident(
    name: &'static str,
    description: &'static str,
    size_unit: &'static str,
    sizes: &[usize],
    environment: &MeasurementEnvironment,
) -> Result<Vec<Cost>, MeasurementError> {
    let point =
        |&size: &usize| Some(Point { size: size as f64, value: (environment.measure_memory)(name, size)? });
    let points = sizes.iter().filter_map(point).collect();
    Ok(vec![Cost { name, description, size_unit, unit: "bytes", kind: MeasurementKind::Resident, points }])
}

fn measure_router_memory(environment: &MeasurementEnvironment) -> Result<Vec<Cost>, MeasurementError> {
    measure_resident(
        "module-memory",
        "a module with its list and pies",
        "nodes",
        &router::MEMORY_SIZES,
        environment,
    )
}

fn measure_purge_memory(environment: &MeasurementEnvironment) -> Result<Vec<Cost>, MeasurementError> {
    let what = "a module with ten nodes and so many purges";
    measure_resident("module-purge-memory", what, "known purges", &router::PURGE_MEMORY_SIZES, environment)
}

/// Measures one size of a cost of memory in this process. Returns `None` if no such cost has this name.
pub fn measure_memory(name: &str, size: usize) -> Option<f64> {
    match name {
        "module-memory" => Some(router::router_memory(size)),
        "module-purge-memory" => Some(router::router_purge_memory(size)),
        _ => None,
    }
}

/// Returns all names in their order.
pub fn names() -> impl Iterator<Item = &'static str> {
    COST_GROUPS.iter().flat_map(|f| f.names.iter().copied())
}

/// Measures the costs whose names begin with `only`, each group together, and hands each to `on_cost` when it is done.
///
/// # Errors
///
/// The first error of a group; the costs before it have been handed on.
pub fn measure(
    only: &str,
    environment: &MeasurementEnvironment,
    mut on_cost: impl FnMut(Cost),
) -> Result<(), MeasurementError> {
    for family in COST_GROUPS.iter().filter(|f| f.names.iter().any(|n| n.starts_with(only))) {
        (family.measure)(environment)?
            .into_iter()
            .filter(|c| c.name.starts_with(only))
            .for_each(&mut on_cost);
    }
    Ok(())
}
