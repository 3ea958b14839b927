//! Tests of evidence within and outside a span of lateness.

use super::*;

#[test]
fn observed_times_are_valid_only_outside_lateness_and_facts_always() {
    let observed = Evidence::Observed(TimeSpan { from: 2.0, to: 3.0 });
    for (from, to, holds) in [
        (1.0, 1.99, true),
        (1.0, 2.01, false),
        (2.4, 2.6, false),
        (1.0, 4.0, false),
        (2.99, 4.0, false),
        (3.01, 4.0, true),
    ] {
        let late = TimeSpan { from, to };
        assert_eq!(observed.holds_despite(&late), holds, "{late:?}");
        assert!(Evidence::Exact.holds_despite(&late), "{late:?}");
    }
}
