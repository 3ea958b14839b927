//! Tests of which delays count as lateness, and in which span.

use super::*;

fn delays(spans: &[(Seconds, Seconds)]) -> Delays {
    let mut delays = Delays::default();
    spans.iter().for_each(|&(from, to)| delays.record(TimeSpan { from, to }));
    delays
}

#[test]
fn delays_past_a_tenth_of_a_second_are_kept_with_their_times() {
    let delays = delays(&[(1.0, 1.05), (2.0, 2.099), (3.0, 3.101), (4.0, 4.5), (5.0, 5.2)]);
    let kept: Vec<(Seconds, Seconds)> =
        delays.past_tolerance.iter().map(|span| (span.from, span.to)).collect();
    assert_eq!(kept, [(3.0, 3.101), (4.0, 4.5), (5.0, 5.2)]);
    assert_eq!(delays.longest(), 0.5);
}

#[test]
fn a_late_sample_and_a_long_write_count_alike() {
    let late = || delays(&[(4.0, 4.2)]);
    for (samples, writes) in [(late(), Delays::default()), (Delays::default(), late())] {
        let lateness = Lateness { samples, writes, ..Lateness::default() };
        assert!(lateness.is_past_tolerance());
        let invalidating =
            |from, to| lateness.invalidating(&Evidence::Observed(TimeSpan { from, to })).count();
        assert_eq!(
            (invalidating(3.0, 3.9), invalidating(3.0, 4.1), invalidating(4.1, 5.0), invalidating(4.3, 5.0)),
            (0, 1, 1, 0)
        );
        assert_eq!(lateness.invalidating(&Evidence::Exact).count(), 0);
    }
    assert!(!Lateness::default().is_past_tolerance());
}

#[test]
fn the_sampler_records_the_span_of_a_late_wake() {
    // The clock stands still except for one jump of half a second, as if the thread had not been scheduled.
    let reads = std::sync::atomic::AtomicU32::new(0);
    let stop = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&stop);
    let clock = move || match reads.fetch_add(1, Ordering::Relaxed) {
        0 => 7.0,
        _ => {
            seen.store(true, Ordering::Relaxed);
            7.502
        }
    };
    let lateness = sample(&clock, &stop);
    let spans: Vec<&TimeSpan> = lateness.past_tolerance().collect();
    assert_eq!(spans.len(), 1);
    assert!((spans[0].from - 7.002).abs() < 1e-6 && spans[0].to == 7.502, "{spans:?}");
    assert!(
        (lateness.samples.longest() - 0.5).abs() < 1e-6 && (lateness.p999 - 0.5).abs() < 0.01,
        "{lateness}"
    );
}
