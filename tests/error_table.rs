//! What must hold for the table of answers as a whole.

use hibiscusroad::{ErrorKind, Retry};
use std::{collections::BTreeSet, fs, path::Path};

#[test]
fn every_kind_has_a_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/errors");
    let files: BTreeSet<String> = fs::read_dir(root)
        .unwrap()
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .collect();
    let kinds: BTreeSet<String> = ErrorKind::ALL
        .iter()
        .map(|kind| format!("{}.toml", kind.answer().problem))
        .collect();
    assert_eq!(files, kinds);
}

#[test]
fn problems_name_one_kind_each() {
    for kind in ErrorKind::ALL {
        let problem = kind.answer().problem;
        assert_eq!(ErrorKind::from_problem(problem), Some(*kind), "{problem}");
    }
    assert_eq!(ErrorKind::from_problem("no-such-problem"), None);
}

// A caller that hears "ask again later" sends the request anew, without a key
// if it has none. If the first attempt may have run, a reservation is doubled.
#[test]
fn ask_again_is_said_only_of_what_did_not_run() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let anew = answer.retry == Retry::After;
        assert!(answer.not_run || !anew, "{kind:?}");
    }
}

#[test]
fn statuses_suit_who_is_at_fault() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert!((400..600).contains(&answer.status), "{kind:?}");
        let ours = answer.status >= 500;
        assert!(ours || answer.retry != Retry::After, "{kind:?}");
    }
}
