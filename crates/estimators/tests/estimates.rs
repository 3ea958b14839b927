//! Estimates against the truth, beside plain moving averages: each outcome moves a member's own mean by 0.12.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_estimators::*;

const SEC: Ns = 1_000_000_000;

/// Root of the mean square error over members and time: (plain, shrunk). One of eight fails `bad` of what it gets, the
/// others 0.02, from the tenth second on.
fn errors(rate: f64, bad: f64, seed: u64) -> (f64, f64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let members = 16;
    let mut estimator = ShrinkageEstimator::new(10 * SEC, 60.0, 0.05);
    let mut plain = vec![0.0f64; members];
    let (mut plain_error, mut shrunk_error, mut n) = (0.0, 0.0, 0.0);
    let mut now = 0;
    while now < 60 * SEC {
        now += ((SEC as f64 / rate) * -(1.0 - rng.random::<f64>()).ln()) as Ns + 1;
        let truth = |m: usize| if now > 10 * SEC && m.is_multiple_of(8) { bad } else { 0.02 };
        let m = rng.random_range(0..members);
        let failed = f64::from(u8::from(rng.random::<f64>() < truth(m)));
        estimator.record(now, m, failed);
        plain[m] += 0.12 * (failed - plain[m]);
        if now > 20 * SEC {
            for (m, p) in plain.iter().enumerate() {
                plain_error += (p - truth(m)).powi(2);
                shrunk_error += (estimator.estimate(now, m).mean - truth(m)).powi(2);
                n += 1.0;
            }
        }
    }
    ((plain_error / n).sqrt(), (shrunk_error / n).sqrt())
}

#[test]
fn shrunk_estimates_err_less_than_plain_ones_where_members_are_alike() {
    // Samples a second of all 16 members, and the part of the plain error that is saved at least; negative: at most so much is
    // lost. Where all are alike most of the error is saved; where one in eight is not, shrinkage costs a little at few samples.
    let cases = [
        (1.0, 0.02, 0.05),
        (10.0, 0.02, 0.6),
        (100.0, 0.02, 0.8),
        (1.0, 0.6, -0.1),
        (10.0, 0.6, -0.2),
        (100.0, 0.6, 0.3),
    ];
    let mut wrong = Vec::new();
    for (rate, bad, saved) in cases {
        let (mut plain, mut shrunk) = (0.0, 0.0);
        for seed in 0..20 {
            let (p, s) = errors(rate, bad, seed);
            plain += p / 20.0;
            shrunk += s / 20.0;
        }
        println!("{rate} a second, one in eight fails {bad}: plain {plain:.3}, shrunk {shrunk:.3}");
        if shrunk > plain * (1.0 - saved) {
            wrong.push((rate, bad, plain, shrunk));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

#[test]
fn confidence_is_low_for_equal_members_and_high_for_different_ones() {
    let mut rng = Pcg32::seed_from_u64(5);
    for (unlike, least, most) in [(0.0, 0.0, 0.4), (0.5, 0.8, 1.0)] {
        let mut estimator = ShrinkageEstimator::new(20 * SEC, 60.0, 0.3);
        for k in 0..2_000u64 {
            let m = k as usize % 10;
            let truth = 0.3 + if m < 5 { unlike } else { 0.0 };
            estimator.record(k * SEC / 50, m, f64::from(u8::from(rng.random::<f64>() < truth)));
        }
        let sure = estimator.estimate(40 * SEC, 0).confidence;
        assert!((least..=most).contains(&sure), "unlike by {unlike}: {sure}");
    }
}

#[test]
fn odd_samples_and_times_do_no_harm() {
    let mut estimator = ShrinkageEstimator::new(SEC, 10.0, 0.2);
    assert_eq!(
        estimator.estimate(5, 3),
        Estimate { mean: 0.2, confidence: 0.0, error: estimator.estimate(5, 3).error }
    );
    for value in [f64::NAN, f64::INFINITY] {
        estimator.record(1, 0, value);
    }
    assert_eq!(estimator.mean(2), 0.2);
    estimator.record(10 * SEC, 2, 1.0);
    // An earlier time decays nothing.
    estimator.record(9 * SEC, 2, 1.0);
    assert!(estimator.estimate(10 * SEC, 2).mean > estimator.estimate(10 * SEC, 0).mean);
    // Samples are forgotten with time, and when the index is given to another member.
    assert!(estimator.estimate(100 * SEC, 2).confidence < 0.01);
    estimator.forget(2);
    assert_eq!(estimator.estimate(10 * SEC, 2).confidence, 0.0);
}

#[test]
fn the_most_frequent_key_is_found_within_a_fixed_memory() {
    let mut rng = Pcg32::seed_from_u64(3);
    let mut sketch = SpaceSaving::new(32);
    for k in 0..20_000u64 {
        let object = if k % 10 == 0 { 7 } else { 1_000 + rng.random_range(0..50_000) };
        sketch.add(object, 1.0);
    }
    let found = sketch.above_share(0.05);
    assert_eq!(found.iter().map(|f| f.0).collect::<Vec<_>>(), [7]);
    assert!((0.05..0.11).contains(&found[0].1), "{found:?}");
    sketch.decay(0.0);
    assert!(sketch.above_share(0.0).is_empty());
    sketch.add(1, f64::NAN);
    sketch.add(1, -1.0);
    assert!(sketch.above_share(0.0).is_empty());
}
