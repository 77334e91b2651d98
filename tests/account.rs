//! Which account a caller proves, and what becomes of one that proves none.

use hibiscusroad::{
    ErrorKind,
    account::{Account, Accounts, Credential, Key},
    catalog::{Catalog, Limits},
};

fn account(name: &str) -> Account {
    Account {
        name: name.to_owned(),
        priority: None,
    }
}

fn shown(text: &str) -> Credential {
    Credential::Key(Key::of(text.as_bytes()))
}

fn catalog() -> Catalog {
    let mut accounts = Accounts::new();
    let keys = ["first", "second"].map(|text| Key::of(text.as_bytes()));
    accounts.add(account("charity"), keys);
    accounts.add(account("no-keys"), []);
    Catalog::new(1, Vec::new(), Vec::new(), Limits::default()).accounts(accounts)
}

#[test]
fn each_key_of_an_account_proves_it() {
    for key in ["first", "second"] {
        let found = catalog();
        let found = found.admit(false, shown(key)).unwrap().unwrap();
        assert_eq!(found.name, "charity");
    }
}

#[test]
fn what_proves_no_account_is_refused_by_its_cause() {
    let cases = [
        (Credential::Missing, ErrorKind::KeyMissing),
        (Credential::Malformed, ErrorKind::KeyMalformed),
        (shown("third"), ErrorKind::KeyUnknown),
        (shown(""), ErrorKind::KeyUnknown),
        (shown("First"), ErrorKind::KeyUnknown),
        (shown("no-keys"), ErrorKind::KeyUnknown),
    ];
    for (credential, kind) in cases {
        assert_eq!(catalog().admit(false, credential), Err(kind));
    }
}

#[test]
fn public_routes_ask_for_no_key_and_hear_of_a_good_one() {
    let catalog = catalog();
    assert_eq!(catalog.admit(true, Credential::Missing), Ok(None));
    assert_eq!(catalog.admit(true, Credential::Malformed), Ok(None));
    assert_eq!(catalog.admit(true, shown("third")), Ok(None));
    let named = catalog.admit(true, shown("first")).unwrap();
    assert_eq!(named.map(|account| account.name.as_str()), Some("charity"));
}

#[test]
fn callers_of_a_deployment_without_accounts_show_nothing() {
    let catalog = Catalog::new(1, Vec::new(), Vec::new(), Limits::default());
    assert!(!catalog.has_accounts());
    for credential in [Credential::Missing, Credential::Malformed, shown("any")] {
        assert_eq!(catalog.admit(false, credential), Ok(None));
    }
}

// Two accounts show the same key: a mistake of whoever hands keys out. If it proved
// the one that was written last, the other's callers would act for it and be counted
// as it. So it proves neither, in whatever order and however often it is written.
#[test]
fn a_key_that_two_accounts_hold_proves_neither() {
    for times in 2..5 {
        let mut accounts = Accounts::new();
        for n in 0..times {
            let keys = ["same".to_owned(), format!("own-{n}")];
            let keys = keys.map(|text| Key::of(text.as_bytes()));
            accounts.add(account(&format!("account-{n}")), keys);
        }
        assert_eq!(accounts.shared(), 1);
        assert_eq!(
            accounts.authenticate(shown("same")),
            Err(ErrorKind::KeyUnknown)
        );
        let own = accounts.authenticate(shown("own-1")).unwrap();
        assert_eq!(own.name, "account-1");
    }
}

#[test]
fn a_key_that_one_account_holds_twice_proves_it() {
    let mut accounts = Accounts::new();
    let keys = ["same", "same"].map(|text| Key::of(text.as_bytes()));
    accounts.add(account("charity"), keys);
    assert_eq!(
        accounts.authenticate(shown("same")).unwrap().name,
        "charity"
    );
    assert_eq!(accounts.shared(), 0);
}

#[test]
fn keys_print_nothing() {
    let key = Key::of(b"jy5rcpihhacruddedev3");
    assert_eq!(format!("{key:?}"), "Key(..)");
    let mut accounts = Accounts::new();
    accounts.add(account("charity"), [key]);
    let printed = format!("{:?} {accounts:?}", Credential::Key(key));
    assert!(!printed.contains("jy5"), "{printed}");
}
