//! How long what is found may have come before, after stops at each moment of a thread's turn.

use super::*;

const MS: Ns = NS_PER_MS;
const WAIT: Duration = Duration::from_millis(50);

#[test]
fn a_wait_that_ended_in_time_leaves_nothing_unread() {
    let mut stalls = StallDetector::new(0);
    assert_eq!(stalls.on_wakeup(MS, WAIT, 51 * MS, true), 0);
    assert_eq!(stalls.on_wakeup(52 * MS, WAIT, 60 * MS, true), 0);
    assert!(!stalls.must_look_again());
}

#[test]
fn what_comes_while_the_thread_works_counts_from_its_last_wakeup() {
    let mut stalls = StallDetector::new(0);
    assert_eq!(stalls.on_wakeup(400 * MS, WAIT, 410 * MS, true), 400 * MS);
    // What came by then was there when the wait began, and was reported.
    assert!(!stalls.must_look_again());
    assert_eq!(stalls.on_wakeup(411 * MS, WAIT, 420 * MS, true), 0);
}

/// Guards against requests that count as just come: a wait reports what had come when it found something, and the thread
/// may be stopped after that.
#[test]
fn what_comes_while_the_thread_is_stopped_in_a_wait_counts_from_its_begin() {
    for (has_reported_all, found) in [(true, "something"), (false, "nothing, as it was interrupted")] {
        let mut stalls = StallDetector::new(0);
        assert_eq!(stalls.on_wakeup(MS, WAIT, 451 * MS, has_reported_all), 451 * MS, "{found}");
        assert!(stalls.must_look_again(), "{found}");
        // The next wait looks at once, and finds the rest.
        assert_eq!(stalls.on_wakeup(452 * MS, Duration::ZERO, 452 * MS, true), 452 * MS, "{found}");
        assert!(!stalls.must_look_again(), "{found}");
        assert_eq!(stalls.on_wakeup(453 * MS, WAIT, 460 * MS, true), 0, "{found}");
    }
}
