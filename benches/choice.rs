//! The ordinary path of a lookup through the module: where to send it, and what after its outcome.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross::{EndpointUpdate, Outcome, Router};

#[path = "../tests/help/mod.rs"]
#[allow(dead_code)]
mod help;

use help::{MS, START, list, look, settings};

fn ordinary(c: &mut Criterion) {
    let lines: Vec<EndpointUpdate> = list(10, 3);
    for (name, withheld) in [("a lookup", 0), ("a lookup while a parent joins by a quarter", 192)] {
        let mut choice = Router::new(settings(), 1, START);
        let mut told = lines.clone();
        if let Some(parent) = told.iter_mut().find(|l| l.node == 50) {
            parent.withheld_virtual_nodes = withheld;
        }
        choice.update_endpoints(START, &told, true);
        let (mut now, mut rng) = (START, Pcg32::seed_from_u64(1));
        c.bench_function(name, |b| {
            b.iter(|| {
                now += 3 * MS;
                // Now and then a send times out.
                let outcome = if rng.random::<f64>() < 0.01 { Outcome::TimedOut } else { Outcome::Success };
                black_box(look(&mut choice, now, rng.random_range(0..5_000), 30 * MS, outcome));
                if now % (1_500 * MS) == 0 {
                    choice.take_log_lines();
                }
            });
        });
    }
}

criterion_group!(benches, ordinary);
criterion_main!(benches);
