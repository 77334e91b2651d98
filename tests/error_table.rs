//! Properties of the table of answers as a whole.

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
fn problem_names_are_unique() {
    for kind in ErrorKind::ALL {
        let problem = kind.answer().problem;
        assert_eq!(ErrorKind::from_problem(problem), Some(*kind), "{problem}");
    }
    assert_eq!(ErrorKind::from_problem("no-such-problem"), None);
}

// Guards against running a request twice: a caller that is told to retry later may have no
// idempotency key.
#[test]
fn retry_after_is_answered_only_if_the_request_did_not_run() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let may_retry = answer.retry == Retry::After;
        assert!(answer.not_run || !may_retry, "{kind:?}");
    }
}

#[test]
fn statuses_match_the_party_at_fault() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert!((400..600).contains(&answer.status), "{kind:?}");
        // The only fault of a caller that passes by itself is that it sends too much.
        let may_pass = answer.status >= 500 || answer.status == 429;
        assert!(may_pass || answer.retry != Retry::After, "{kind:?}");
        assert!(
            answer.status != 429 || answer.retry == Retry::After,
            "{kind:?}"
        );
    }
}
