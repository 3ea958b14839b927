//! The list of all costs, in the order of docs/CAPACITY.md, and the functions that measure them.

use crate::MeasurementError;
use crate::cost::{Cost, MeasurementKind};
use crate::fit::Point;
use crate::real_director::DirectorCommand;
use crate::{coordination, discovery, real_director, router};

/// Costs that one function measures together.
struct CostGroup {
    /// Names of the costs.
    names: &'static [&'static str],
    measure: fn(&MeasurementEnvironment) -> Result<Vec<Cost>, MeasurementError>,
}

/// The functions that start the processes in which costs are measured.
pub struct MeasurementEnvironment<'a> {
    /// Measures one size of a memory cost in a separate process, whose memory no other measurement has used.
    pub measure_memory: &'a dyn Fn(&str, usize) -> Option<f64>,
    /// Builds the command that starts a director.
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
        measure: |environment| real_director::measure_purge_rate(environment.director_command),
    },
    CostGroup {
        names: &["real-batch-time"],
        measure: |environment| real_director::measure_batches(environment.director_command),
    },
    CostGroup {
        names: &["real-change-time"],
        measure: |environment| real_director::measure_change_rate(environment.director_command),
    },
    CostGroup {
        names: &["real-told-time", "real-told-memory"],
        measure: |environment| real_director::measure_initial_purges(environment.director_command),
    },
    CostGroup {
        names: &["real-start-time", "real-start-memory"],
        measure: |environment| real_director::measure_list_starts(environment.director_command),
    },
    CostGroup {
        names: &["real-lookup-time", "real-lookup-memory", "real-lookup-descriptors"],
        measure: |environment| real_director::measure_lookups(environment.director_command),
    },
    CostGroup {
        names: &["real-body-time"],
        measure: |environment| real_director::measure_bodies(environment.director_command),
    },
    CostGroup {
        names: &["real-voter-time", "real-dealer-time"],
        measure: |environment| real_director::measure_voters(environment.director_command),
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
        "a router with its endpoint list and hash rings",
        "nodes",
        &router::MEMORY_SIZES,
        environment,
    )
}

fn measure_purge_memory(environment: &MeasurementEnvironment) -> Result<Vec<Cost>, MeasurementError> {
    let description = "a router with ten nodes and the known purges";
    measure_resident(
        "module-purge-memory",
        description,
        "known purges",
        &router::PURGE_MEMORY_SIZES,
        environment,
    )
}

/// Measures one size of a memory cost in this process. Returns `None` if no memory cost has this name.
pub fn measure_memory(name: &str, size: usize) -> Option<f64> {
    match name {
        "module-memory" => Some(router::router_memory(size)),
        "module-purge-memory" => Some(router::router_purge_memory(size)),
        _ => None,
    }
}

/// Returns the names of all costs, in the order in which they are measured.
pub fn names() -> impl Iterator<Item = &'static str> {
    COST_GROUPS.iter().flat_map(|group| group.names.iter().copied())
}

/// Measures the costs whose names begin with `only` and passes each of them to `on_cost` as soon as its group is measured.
///
/// # Errors
///
/// Returns the first error of a group. The costs of the groups before it have been passed to `on_cost`.
pub fn measure(
    only: &str,
    environment: &MeasurementEnvironment,
    mut on_cost: impl FnMut(Cost),
) -> Result<(), MeasurementError> {
    for group in COST_GROUPS.iter().filter(|group| group.names.iter().any(|name| name.starts_with(only))) {
        (group.measure)(environment)?
            .into_iter()
            .filter(|cost| cost.name.starts_with(only))
            .for_each(&mut on_cost);
    }
    Ok(())
}
