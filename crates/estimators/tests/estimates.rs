//! Compares the estimates with the true means, and their error with the error of a plain exponential moving average per
//! member (smoothing factor 0.12). Checks that the sketch finds the most frequent key.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_estimators::*;

const SEC: Ns = 1_000_000_000;

/// Returns the root-mean-square error over members and time, of the moving averages and of the shrunk estimates.
///
/// `rate` is the number of samples per second of all members together. From the tenth second on, one member in eight
/// fails the share `bad` of its requests; the other members fail the share 0.02.
fn rms_errors(rate: f64, bad: f64, seed: u64) -> (f64, f64) {
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
fn shrinkage_reduces_the_error_if_members_are_alike() {
    // Each case has the samples per second of all 16 members together, the failure rate of one member in eight, and the
    // minimum reduction of the error as a share of the error of the moving averages; a negative one allows an increase.
    // If all members are alike, shrinkage removes most of the error. If one in eight differs, it adds a little error at
    // few samples.
    let cases = [
        (1.0, 0.02, 0.05),
        (10.0, 0.02, 0.6),
        (100.0, 0.02, 0.8),
        (1.0, 0.6, -0.1),
        (10.0, 0.6, -0.2),
        (100.0, 0.6, 0.3),
    ];
    let mut failed_cases = Vec::new();
    for (rate, bad, min_reduction) in cases {
        let (mut plain, mut shrunk) = (0.0, 0.0);
        for seed in 0..20 {
            let (p, s) = rms_errors(rate, bad, seed);
            plain += p / 20.0;
            shrunk += s / 20.0;
        }
        println!("{rate} samples/s, one member in eight fails {bad}: plain {plain:.3}, shrunk {shrunk:.3}");
        if shrunk > plain * (1.0 - min_reduction) {
            failed_cases.push((rate, bad, plain, shrunk));
        }
    }
    assert!(failed_cases.is_empty(), "{failed_cases:?}");
}

#[test]
fn confidence_is_low_for_equal_members_and_high_for_different_ones() {
    let mut rng = Pcg32::seed_from_u64(5);
    for (difference, min_confidence, max_confidence) in [(0.0, 0.0, 0.4), (0.5, 0.8, 1.0)] {
        let mut estimator = ShrinkageEstimator::new(20 * SEC, 60.0, 0.3);
        for k in 0..2_000u64 {
            let m = k as usize % 10;
            let truth = 0.3 + if m < 5 { difference } else { 0.0 };
            estimator.record(k * SEC / 50, m, f64::from(u8::from(rng.random::<f64>() < truth)));
        }
        let confidence = estimator.estimate(40 * SEC, 0).confidence;
        assert!(
            (min_confidence..=max_confidence).contains(&confidence),
            "difference {difference}: {confidence}"
        );
    }
}

#[test]
fn handles_invalid_samples_and_out_of_order_times() {
    let mut estimator = ShrinkageEstimator::new(SEC, 10.0, 0.2);
    assert_eq!(
        estimator.estimate(5, 3),
        Estimate { mean: 0.2, confidence: 0.0, standard_error: estimator.estimate(5, 3).standard_error }
    );
    for value in [f64::NAN, f64::INFINITY] {
        estimator.record(1, 0, value);
    }
    assert_eq!(estimator.pooled_mean(2), 0.2);
    estimator.record(10 * SEC, 2, 1.0);
    // A time before the last update decays nothing.
    estimator.record(9 * SEC, 2, 1.0);
    assert!(estimator.estimate(10 * SEC, 2).mean > estimator.estimate(10 * SEC, 0).mean);
    // Samples lose their weight with time, and are discarded when the index is assigned to another member.
    assert!(estimator.estimate(100 * SEC, 2).confidence < 0.01);
    estimator.forget(2);
    assert_eq!(estimator.estimate(10 * SEC, 2).confidence, 0.0);
}

#[test]
fn finds_the_most_frequent_key_in_bounded_memory() {
    let mut rng = Pcg32::seed_from_u64(3);
    let mut sketch = SpaceSaving::new(32);
    for k in 0..20_000u64 {
        let object = if k % 10 == 0 { 7 } else { 1_000 + rng.random_range(0..50_000) };
        sketch.add(object, 1.0);
    }
    let found = sketch.heavy_hitters(0.05);
    assert_eq!(found.iter().map(|f| f.0).collect::<Vec<_>>(), [7]);
    assert!((0.05..0.11).contains(&found[0].1), "{found:?}");
    sketch.decay(0.0);
    assert!(sketch.heavy_hitters(0.0).is_empty());
    sketch.add(1, f64::NAN);
    sketch.add(1, -1.0);
    assert!(sketch.heavy_hitters(0.0).is_empty());
}
