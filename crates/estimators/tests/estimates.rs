//! Estimates against the truth, beside the plain ones in use: each outcome moves a member's own figure by 0.12.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_estimators::*;

const SEC: Ns = 1_000_000_000;

/// Root of the mean square error over members and time: (plain, shrunk). One of eight fails `bad` of what it gets, the
/// others 0.02, from the tenth second on.
fn errors(rate: f64, bad: f64, seed: u64) -> (f64, f64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let members = 16;
    let mut group = ShrinkageEstimator::new(10 * SEC, 60.0, 0.05);
    let mut plain = vec![0.0f64; members];
    let (mut plain_off, mut group_off, mut n) = (0.0, 0.0, 0.0);
    let mut now = 0;
    while now < 60 * SEC {
        now += ((SEC as f64 / rate) * -(1.0 - rng.random::<f64>()).ln()) as Ns + 1;
        let truth = |m: usize| if now > 10 * SEC && m.is_multiple_of(8) { bad } else { 0.02 };
        let m = rng.random_range(0..members);
        let failed = f64::from(u8::from(rng.random::<f64>() < truth(m)));
        group.record(now, m, failed);
        plain[m] += 0.12 * (failed - plain[m]);
        if now > 20 * SEC {
            for (m, p) in plain.iter().enumerate() {
                plain_off += (p - truth(m)).powi(2);
                group_off += (group.estimate(now, m).mean - truth(m)).powi(2);
                n += 1.0;
            }
        }
    }
    ((plain_off / n).sqrt(), (group_off / n).sqrt())
}

#[test]
fn shrunk_estimates_err_less_than_plain_ones_where_members_are_alike() {
    // Samples a second at all 16 members; least part of the plain error that is saved: less than none, at most so much is lost.
    // Where all are alike most of the error goes; where one in eight is not, at thin samples what pulls towards the others
    // costs a little.
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
fn alike_members_are_believed_alike_and_unlike_ones_each_by_itself() {
    let mut rng = Pcg32::seed_from_u64(5);
    for (unlike, least, most) in [(0.0, 0.0, 0.4), (0.5, 0.8, 1.0)] {
        let mut group = ShrinkageEstimator::new(20 * SEC, 60.0, 0.3);
        for k in 0..2_000u64 {
            let m = k as usize % 10;
            let truth = 0.3 + if m < 5 { unlike } else { 0.0 };
            group.record(k * SEC / 50, m, f64::from(u8::from(rng.random::<f64>() < truth)));
        }
        let sure = group.estimate(40 * SEC, 0).confidence;
        assert!((least..=most).contains(&sure), "unlike by {unlike}: {sure}");
    }
}

#[test]
fn odd_samples_and_times_do_no_harm() {
    let mut group = ShrinkageEstimator::new(SEC, 10.0, 0.2);
    assert_eq!(
        group.estimate(5, 3),
        Estimate { mean: 0.2, confidence: 0.0, error: group.estimate(5, 3).error }
    );
    for value in [f64::NAN, f64::INFINITY] {
        group.record(1, 0, value);
    }
    assert_eq!(group.mean(2), 0.2);
    group.record(10 * SEC, 2, 1.0);
    // An earlier time fades nothing.
    group.record(9 * SEC, 2, 1.0);
    assert!(group.estimate(10 * SEC, 2).mean > group.estimate(10 * SEC, 0).mean);
    // Forgotten with time, and when its place is another's.
    assert!(group.estimate(100 * SEC, 2).confidence < 0.01);
    group.forget(2);
    assert_eq!(group.estimate(10 * SEC, 2).confidence, 0.0);
}

#[test]
fn what_is_asked_for_most_is_found_within_its_memory() {
    let mut rng = Pcg32::seed_from_u64(3);
    let mut most = SpaceSaving::new(32);
    for k in 0..20_000u64 {
        let object = if k % 10 == 0 { 7 } else { 1_000 + rng.random_range(0..50_000) };
        most.add(object, 1.0);
    }
    let found = most.above_share(0.05);
    assert_eq!(found.iter().map(|f| f.0).collect::<Vec<_>>(), [7]);
    assert!((0.05..0.11).contains(&found[0].1), "{found:?}");
    most.decay(0.0);
    assert!(most.above_share(0.0).is_empty());
    most.add(1, f64::NAN);
    most.add(1, -1.0);
    assert!(most.above_share(0.0).is_empty());
}
