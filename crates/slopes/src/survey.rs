//! All costs by name, in the order of the page.

use crate::cost::{Cost, How};
use crate::fit::Point;
use crate::{duties, feed, module};

/// Costs that are taken together.
pub struct Family {
    pub names: &'static [&'static str],
    take: fn(Bare) -> Vec<Cost>,
}

/// Asks for one size of one cost in a process of its own, for memory that nothing else has touched.
pub type Bare<'a> = &'a dyn Fn(&str, usize) -> Option<f64>;

const FAMILIES: &[Family] = &[
    Family { names: &["module-purge-known"], take: |_| vec![module::purge_known()] },
    Family { names: &["module-purge-rate"], take: |_| vec![module::purge_rate()] },
    Family {
        names: &[
            "module-change-parent",
            "module-change-cache",
            "module-zone-loss",
            "module-zone-loss-at-once",
        ],
        take: |_| module::list_changes(),
    },
    Family { names: &["module-route", "module-after", "module-patience"], take: |_| module::calls() },
    Family { names: &["module-memory"], take: module_memory },
    Family { names: &["module-purge-memory"], take: purge_memory },
    Family { names: &["feed-purge-bytes", "feed-purge-time"], take: |_| feed::purges() },
    Family { names: &["feed-change-bytes", "feed-change-time"], take: |_| feed::changes() },
    Family { names: &["feed-list-bytes", "feed-list-time"], take: |_| feed::lists() },
    Family {
        names: &[
            "duties-member-bytes",
            "duties-member-time",
            "duties-voter-calls",
            "duties-voter-bytes",
            "duties-voter-time",
            "duties-dealer-bytes",
            "duties-dealer-time",
        ],
        take: |_| duties::by_members(),
    },
    Family {
        names: &["duties-facts-bytes", "duties-facts-voter-bytes", "duties-facts-voter-time"],
        take: |_| duties::by_boxes(),
    },
    Family { names: &["duties-share-time"], take: |_| vec![duties::share()] },
    Family { names: &["duties-roster-bytes"], take: |_| vec![duties::roster()] },
];

fn resident(
    name: &'static str,
    what: &'static str,
    over: &'static str,
    sizes: &[usize],
    bare: Bare,
) -> Vec<Cost> {
    let point = |&size: &usize| Some(Point { size: size as f64, value: bare(name, size)? });
    let points = sizes.iter().filter_map(point).collect();
    vec![Cost { name, what, over, unit: "bytes", how: How::Resident, points }]
}

fn module_memory(bare: Bare) -> Vec<Cost> {
    resident("module-memory", "a module with its list and pies", "nodes", &module::MEMORY, bare)
}

fn purge_memory(bare: Bare) -> Vec<Cost> {
    let what = "a module with ten nodes and so many purges";
    resident("module-purge-memory", what, "known purges", &module::PURGE_MEMORY, bare)
}

/// One size of a cost of memory, taken in this process.
pub fn bare(name: &str, size: usize) -> Option<f64> {
    match name {
        "module-memory" => Some(module::memory(size)),
        "module-purge-memory" => Some(module::purge_memory(size)),
        _ => None,
    }
}

/// All names, in their order.
pub fn names() -> impl Iterator<Item = &'static str> {
    FAMILIES.iter().flat_map(|f| f.names.iter().copied())
}

/// Takes those whose names begin so, each family as a whole, and hands each on as it is done.
pub fn take(only: &str, ask: Bare, mut done: impl FnMut(Cost)) {
    for family in FAMILIES.iter().filter(|f| f.names.iter().any(|n| n.starts_with(only))) {
        (family.take)(ask).into_iter().filter(|c| c.name.starts_with(only)).for_each(&mut done);
    }
}
