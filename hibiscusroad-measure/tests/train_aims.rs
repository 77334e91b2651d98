//! The aims of training, on the load that they were set for.

use hibiscusroad_measure::train::{Load, Policy, run_one};

// Two trainers share engines of which one is slow and one is lost. They wait
// at most 3 % of the time, get nothing over the bound, and engines make little
// that can't be used; the plain policy leaves them waiting most of the time.
#[test]
fn trainers_do_not_idle() {
    for load in [Load::pobrezie(), Load::lakeshore()] {
        let ours = run_one(&load, Policy::Ours, 1);
        assert!(ours.idle <= 0.03, "{ours:?}");
        assert!(ours.over <= 1.05, "{ours:?}");
        assert!(ours.wasted <= 0.05, "{ours:?}");
        assert_eq!(ours.broken, 0);
        let plain = run_one(&load, Policy::Plain, 1);
        assert!(ours.idle < plain.idle);
    }
}

// The non-profit minds idle time and the floorplan firm staleness; the setting
// must show in what they get.
#[test]
fn the_setting_trades_staleness() {
    let idle = run_one(&Load::pobrezie(), Policy::Ours, 1);
    let fresh = run_one(&Load::lakeshore(), Policy::Ours, 1);
    assert!(fresh.stale[0] < idle.stale[0]);
    assert!(fresh.age[0] < idle.age[0]);
}
