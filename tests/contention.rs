//! The switch for decisions on competition for room.

use hibiscusroad::contention::{Contention, Mode};

#[test]
fn auto_follows_the_platform_and_the_endpoints() {
    let cases = [
        (Mode::Auto, false, false, false),
        (Mode::Auto, false, true, true),
        (Mode::Auto, true, false, true),
        (Mode::On, false, false, true),
        (Mode::Off, true, true, false),
    ];
    for (mode, declared, shares_hosts, expected) in cases {
        let contention = Contention::new(mode, declared);
        assert_eq!(
            contention.is_expected(shares_hosts),
            expected,
            "{mode:?}, declared {declared}, shared hosts {shares_hosts}"
        );
    }
}
