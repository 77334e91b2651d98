//! Authentication of callers by keys, and the errors for those that fail it.

use hibiscusroad::{
    ErrorKind,
    account::{Account, Accounts, Credential, Key},
    catalog::{Catalog, Limits},
};

fn account(name: &str) -> Account {
    Account {
        name: name.to_owned(),
        allowed_regions: Vec::new(),
        priority: None,
    }
}

fn key_credential(text: &str) -> Credential {
    Credential::Key(Key::of(text.as_bytes()))
}

fn catalog() -> Catalog {
    let mut accounts = Accounts::new();
    let keys = ["first", "second"].map(|text| Key::of(text.as_bytes()));
    accounts.add(account("charity"), keys);
    accounts.add(account("no-keys"), []);
    Catalog::new(1, Vec::new(), Vec::new(), Limits::default()).with_accounts(accounts)
}

#[test]
fn each_key_of_an_account_authenticates_it() {
    for text in ["first", "second"] {
        let catalog = catalog();
        let account = catalog.admit(false, key_credential(text)).unwrap().unwrap();
        assert_eq!(account.name, "charity");
    }
}

#[test]
fn invalid_credentials_are_refused_with_their_kind() {
    let cases = [
        (Credential::Missing, ErrorKind::KeyMissing),
        (Credential::Malformed, ErrorKind::KeyMalformed),
        (key_credential("third"), ErrorKind::KeyUnknown),
        (key_credential(""), ErrorKind::KeyUnknown),
        (key_credential("First"), ErrorKind::KeyUnknown),
        (key_credential("no-keys"), ErrorKind::KeyUnknown),
    ];
    for (credential, kind) in cases {
        assert_eq!(catalog().admit(false, credential), Err(kind));
    }
}

#[test]
fn public_routes_need_no_key_but_accept_a_valid_one() {
    let catalog = catalog();
    assert_eq!(catalog.admit(true, Credential::Missing), Ok(None));
    assert_eq!(catalog.admit(true, Credential::Malformed), Ok(None));
    assert_eq!(catalog.admit(true, key_credential("third")), Ok(None));
    let account = catalog.admit(true, key_credential("first")).unwrap();
    assert_eq!(
        account.map(|account| account.name.as_str()),
        Some("charity")
    );
}

#[test]
fn deployment_without_accounts_ignores_credentials() {
    let catalog = Catalog::new(1, Vec::new(), Vec::new(), Limits::default());
    assert!(!catalog.has_accounts());
    for credential in [
        Credential::Missing,
        Credential::Malformed,
        key_credential("any"),
    ] {
        assert_eq!(catalog.admit(false, credential), Ok(None));
    }
}

// Guards against charging the callers of one account to another one with the same key.
#[test]
fn key_of_several_accounts_authenticates_none() {
    for count in 2..5 {
        let mut accounts = Accounts::new();
        for n in 0..count {
            let keys = ["same".to_owned(), format!("own-{n}")];
            let keys = keys.map(|text| Key::of(text.as_bytes()));
            accounts.add(account(&format!("account-{n}")), keys);
        }
        assert_eq!(accounts.shared_key_count(), 1);
        assert_eq!(
            accounts.authenticate(key_credential("same")),
            Err(ErrorKind::KeyUnknown)
        );
        let account = accounts.authenticate(key_credential("own-1")).unwrap();
        assert_eq!(account.name, "account-1");
    }
}

#[test]
fn key_listed_twice_by_one_account_authenticates_it() {
    let mut accounts = Accounts::new();
    let keys = ["same", "same"].map(|text| Key::of(text.as_bytes()));
    accounts.add(account("charity"), keys);
    assert_eq!(
        accounts.authenticate(key_credential("same")).unwrap().name,
        "charity"
    );
    assert_eq!(accounts.shared_key_count(), 0);
}

#[test]
fn debug_output_hides_keys() {
    let key = Key::of(b"jy5rcpihhacruddedev3");
    assert_eq!(format!("{key:?}"), "Key(..)");
    let mut accounts = Accounts::new();
    accounts.add(account("charity"), [key]);
    let printed = format!("{:?} {accounts:?}", Credential::Key(key));
    assert!(!printed.contains("jy5"), "{printed}");
}
