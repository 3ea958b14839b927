//! Tests of the capacity of a cold, a half warm and a warm cache. Each bound is a literal here.

use super::*;

/// A cache that started cold at second 10 and can take 100 calls a second once it is warm.
const COLD: Capacity = Capacity { warm: 100.0, cold_since: Some(10.0) };
const WARM: Capacity = Capacity { warm: 100.0, cold_since: None };

/// Returns how many calls are admitted of an even load of 1,000 calls a second that lasts one second.
fn admitted(capacity: Capacity, from: Seconds) -> usize {
    let mut queue = AdmissionQueue::new(capacity);
    let admissions = (0..1_000).map(|call| queue.admit(from + f64::from(call) / 1_000.0));
    admissions.filter(|admission| *admission != Admission::Full).count()
}

#[test]
fn a_cold_cache_has_a_quarter_of_its_capacity_at_first_and_all_of_it_after_six_seconds() {
    for (now, calls_per_second) in [(10.0, 25.0), (13.0, 62.5), (16.0, 100.0), (60.0, 100.0)] {
        assert_eq!(COLD.at(now), calls_per_second, "at {now}");
        assert_eq!(WARM.at(now), 100.0);
    }
}

#[test]
fn a_second_admits_its_capacity_and_a_tenth_of_a_second_of_queued_calls() {
    // The capacity of a cold cache grows by an eighth of its warm capacity in a second.
    for (capacity, from, least, most) in
        [(COLD, 10.0, 27, 38), (COLD, 13.0, 68, 77), (COLD, 16.0, 109, 111), (WARM, 0.0, 109, 111)]
    {
        let admitted = admitted(capacity, from);
        assert!((least..=most).contains(&admitted), "{admitted} from {from}");
    }
}

#[test]
fn a_call_waits_a_tenth_of_a_second_at_most() {
    let mut queue = AdmissionQueue::new(WARM);
    for (call, begins_at) in (0..=10).zip([5.0, 5.01, 5.02, 5.03, 5.04, 5.05, 5.06, 5.07, 5.08, 5.09, 5.1]) {
        let Admission::BeginsAt(at) = queue.admit(5.0) else { panic!("call {call} is rejected") };
        assert!((at - begins_at).abs() < 1e-9, "call {call} begins at {at}");
    }
    assert_eq!(queue.admit(5.0), Admission::Full);
    // A rejected call has taken no capacity.
    assert!(matches!(queue.admit(5.011), Admission::BeginsAt(_)));
    assert_eq!(queue.admit(5.011), Admission::Full);
}
