//! All costs by name, in the order of the page.

use std::io;

use crate::cost::{Cost, How};
use crate::fit::Point;
use crate::real::Program;
use crate::{duties, feed, module, real};

/// Costs that are taken together.
pub struct Family {
    pub names: &'static [&'static str],
    take: fn(&Ways) -> io::Result<Vec<Cost>>,
}

/// How processes are made that a cost is taken in.
pub struct Ways<'a> {
    /// Asks for one size of one cost in a process of its own, for memory that nothing else has touched.
    pub bare: &'a dyn Fn(&str, usize) -> Option<f64>,
    pub director: Program<'a>,
}

const FAMILIES: &[Family] = &[
    Family { names: &["module-purge-known"], take: |_| Ok(vec![module::purge_known()]) },
    Family { names: &["module-purge-rate"], take: |_| Ok(vec![module::purge_rate()]) },
    Family {
        names: &[
            "module-change-parent",
            "module-change-cache",
            "module-zone-loss",
            "module-zone-loss-at-once",
        ],
        take: |_| Ok(module::list_changes()),
    },
    Family { names: &["module-route", "module-after", "module-patience"], take: |_| Ok(module::calls()) },
    Family { names: &["module-memory"], take: module_memory },
    Family { names: &["module-purge-memory"], take: purge_memory },
    Family { names: &["feed-purge-bytes", "feed-purge-time"], take: |_| Ok(feed::purges()) },
    Family { names: &["feed-change-bytes", "feed-change-time"], take: |_| Ok(feed::changes()) },
    Family { names: &["feed-list-bytes", "feed-list-time"], take: |_| Ok(feed::lists()) },
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
        take: |_| Ok(duties::by_members()),
    },
    Family {
        names: &["duties-facts-bytes", "duties-facts-voter-bytes", "duties-facts-voter-time"],
        take: |_| Ok(duties::by_boxes()),
    },
    Family { names: &["duties-share-time"], take: |_| Ok(vec![duties::share()]) },
    Family { names: &["real-purge-time"], take: |w| real::purge_rate(w.director) },
    Family { names: &["real-batch-time"], take: |w| real::batch(w.director) },
    Family { names: &["real-change-time"], take: |w| real::change_rate(w.director) },
    Family { names: &["real-told-time", "real-told-memory"], take: |w| real::told_at_once(w.director) },
    Family { names: &["real-start-time", "real-start-memory"], take: |w| real::starts(w.director) },
    Family {
        names: &["real-lookup-time", "real-lookup-memory", "real-lookup-descriptors"],
        take: |w| real::lookups(w.director),
    },
    Family { names: &["real-body-time"], take: |w| real::bodies(w.director) },
    Family { names: &["real-voter-time", "real-dealer-time"], take: |w| real::voters(w.director) },
    Family { names: &["duties-roster-bytes"], take: |_| Ok(vec![duties::roster()]) },
];

fn resident(
    name: &'static str,
    what: &'static str,
    over: &'static str,
    sizes: &[usize],
    ways: &Ways,
) -> io::Result<Vec<Cost>> {
    let point = |&size: &usize| Some(Point { size: size as f64, value: (ways.bare)(name, size)? });
    let points = sizes.iter().filter_map(point).collect();
    Ok(vec![Cost { name, what, over, unit: "bytes", how: How::Resident, points }])
}

fn module_memory(ways: &Ways) -> io::Result<Vec<Cost>> {
    resident("module-memory", "a module with its list and pies", "nodes", &module::MEMORY, ways)
}

fn purge_memory(ways: &Ways) -> io::Result<Vec<Cost>> {
    let what = "a module with ten nodes and so many purges";
    resident("module-purge-memory", what, "known purges", &module::PURGE_MEMORY, ways)
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
pub fn take(only: &str, ways: &Ways, mut done: impl FnMut(Cost)) -> io::Result<()> {
    for family in FAMILIES.iter().filter(|f| f.names.iter().any(|n| n.starts_with(only))) {
        (family.take)(ways)?.into_iter().filter(|c| c.name.starts_with(only)).for_each(&mut done);
    }
    Ok(())
}
