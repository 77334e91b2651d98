//! Bounds on the idle time, staleness and waste of training policies.

use hibiscusroad_measure::train::{Load, Policy, run_one};

// Guards against trainers that wait, late samples and wasted tokens when one
// engine is slow and one is lost.
#[test]
fn trainers_rarely_idle() {
    for load in [Load::pobrezie(), Load::lakeshore()] {
        let ours = run_one(&load, Policy::Ours, 1);
        assert!(ours.idle_share <= 0.03, "{ours:?}");
        assert!(ours.step_ratio <= 1.05, "{ours:?}");
        assert!(ours.wasted_share <= 0.05, "{ours:?}");
        assert_eq!(ours.bound_violations, 0);
        let plain = run_one(&load, Policy::Plain, 1);
        assert!(ours.idle_share < plain.idle_share);
    }
}

// A higher staleness weight must give fresher samples.
#[test]
fn staleness_weight_lowers_staleness() {
    let low_weight = run_one(&Load::pobrezie(), Policy::Ours, 1);
    let high_weight = run_one(&Load::lakeshore(), Policy::Ours, 1);
    assert!(high_weight.staleness[0] < low_weight.staleness[0]);
    assert!(high_weight.sample_age[0] < low_weight.sample_age[0]);
}
