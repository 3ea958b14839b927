//! Measures the cost of recording a sample and of an estimate, with 16 and 200 members, and of adding to a sketch.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use sablecross_estimators::{ShrinkageEstimator, SpaceSaving};

fn estimates(c: &mut Criterion) {
    for members in [16usize, 200] {
        let mut estimator = ShrinkageEstimator::new(10_000_000_000, 60.0, 0.05);
        let mut now = 0;
        c.bench_function(&format!("ShrinkageEstimator::record, {members} members"), |b| {
            b.iter(|| {
                now += 1_000_000;
                estimator.record(now, now as usize % members, black_box(0.0));
            });
        });
        c.bench_function(&format!("ShrinkageEstimator::estimate, {members} members"), |b| {
            b.iter(|| black_box(estimator.estimate(now, 3)))
        });
    }
    let mut sketch = SpaceSaving::new(64);
    let mut random = 0u64;
    c.bench_function("SpaceSaving::add, 64 counters", |b| {
        b.iter(|| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            sketch.add(random >> 50, 1.0);
        });
    });
}

criterion_group!(all, estimates);
criterion_main!(all);
