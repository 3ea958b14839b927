//! Benchmarks of the common path of a request through the router: where to send it, and what to do after its outcome.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross::{EndpointUpdate, Outcome, Router};

#[path = "../tests/support/mod.rs"]
#[allow(dead_code)]
mod support;

use support::{MS, START, endpoint_list, route_and_finish, settings};

fn common_path(c: &mut Criterion) {
    let list: Vec<EndpointUpdate> = endpoint_list(10, 3);
    for (name, withheld) in [("a request", 0), ("a request while a parent joins by a quarter", 192)] {
        let mut router = Router::new(settings(), 1, START);
        let mut updates = list.clone();
        if let Some(parent) = updates.iter_mut().find(|listing| listing.node == 50) {
            parent.withheld_virtual_nodes = withheld;
        }
        router.update_endpoints(START, &updates, true);
        let (mut now, mut rng) = (START, Pcg32::seed_from_u64(1));
        c.bench_function(name, |b| {
            b.iter(|| {
                now += 3 * MS;
                // About one attempt in a hundred times out.
                let outcome = if rng.random::<f64>() < 0.01 { Outcome::TimedOut } else { Outcome::Success };
                black_box(route_and_finish(&mut router, now, rng.random_range(0..5_000), 30 * MS, outcome));
                if now % (1_500 * MS) == 0 {
                    router.take_log_lines();
                }
            });
        });
    }
}

criterion_group!(benches, common_path);
criterion_main!(benches);
