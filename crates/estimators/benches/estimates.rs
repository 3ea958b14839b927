//! The cost of recording a sample and of an estimate, at 16 and 200 members.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use sablecross_estimators::{ShrinkageEstimator, SpaceSaving};

fn estimates(c: &mut Criterion) {
    for members in [16usize, 200] {
        let mut estimator = ShrinkageEstimator::new(10_000_000_000, 60.0, 0.05);
        let mut now = 0;
        c.bench_function(&format!("note, {members} members"), |b| {
            b.iter(|| {
                now += 1_000_000;
                estimator.record(now, now as usize % members, black_box(0.0));
            });
        });
        c.bench_function(&format!("of, {members} members"), |b| {
            b.iter(|| black_box(estimator.estimate(now, 3)))
        });
    }
    let mut sketch = SpaceSaving::new(64);
    let mut k = 0u64;
    c.bench_function("count, 64 counters", |b| {
        b.iter(|| {
            k = k.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            sketch.add(k >> 50, 1.0);
        });
    });
}

criterion_group!(all, estimates);
criterion_main!(all);
