//! A soak in which the store carries out writes of texts late. It is a program of its own, since
//! soaks take each other's time.

use hibiscusroad_measure::{
    interrupt::Interrupt,
    soak::{self, Options},
};
use std::time::Duration;

// Guards against texts joined from several runs, when writes of pieces without an answer are
// carried out after newer ones while owners are stopped and killed in series.
#[test]
fn texts_are_of_one_run_when_their_writes_are_late() {
    let options = Options {
        time: Duration::from_secs(30),
        seed: 1,
        processes: 3,
        late_writes: true,
        ..Options::default()
    };
    let found = soak::run(&options, &Interrupt::default()).unwrap();
    assert!(found.is_clean(), "{}", found.text());
    assert!(found.count("resumed runs") >= 10, "{}", found.text());
}
