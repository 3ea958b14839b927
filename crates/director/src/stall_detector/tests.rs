//! The time that input may have lain unread, after the process was stopped at each point of a thread's loop.

use super::*;

const MS: Ns = NS_PER_MS;
const WAIT: Duration = Duration::from_millis(50);

#[test]
fn wait_that_ended_in_time_leaves_no_unread_time() {
    let mut stalls = StallDetector::new(0);
    assert_eq!(stalls.on_wakeup(MS, WAIT, 51 * MS, true), 0);
    assert_eq!(stalls.on_wakeup(52 * MS, WAIT, 60 * MS, true), 0);
    assert!(!stalls.must_poll_again());
}

#[test]
fn input_during_work_counts_from_the_last_wakeup() {
    let mut stalls = StallDetector::new(0);
    assert_eq!(stalls.on_wakeup(400 * MS, WAIT, 410 * MS, true), 400 * MS);
    // Input that arrived during the work was there when the wait began, so the wait reported it.
    assert!(!stalls.must_poll_again());
    assert_eq!(stalls.on_wakeup(411 * MS, WAIT, 420 * MS, true), 0);
}

/// Guards against arrival times of requests that are too late: a wait reports only the input that had arrived when it
/// found something, and more may arrive if the thread is stopped after that.
#[test]
fn input_during_a_stopped_wait_counts_from_the_wakeup_before_it() {
    for (has_reported_all, found) in [(true, "something"), (false, "nothing, as it was interrupted")] {
        let mut stalls = StallDetector::new(0);
        assert_eq!(stalls.on_wakeup(MS, WAIT, 451 * MS, has_reported_all), 451 * MS, "{found}");
        assert!(stalls.must_poll_again(), "{found}");
        // The next wait returns at once, and finds the rest.
        assert_eq!(stalls.on_wakeup(452 * MS, Duration::ZERO, 452 * MS, true), 452 * MS, "{found}");
        assert!(!stalls.must_poll_again(), "{found}");
        assert_eq!(stalls.on_wakeup(453 * MS, WAIT, 460 * MS, true), 0, "{found}");
    }
}
