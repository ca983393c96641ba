use super::*;

#[test]
fn an_authority_is_never_replaced() {
    let folder = tempfile::tempdir().expect("a folder");
    KeyAuthority::create(folder.path()).expect("it is empty");
    let again = KeyAuthority::create(folder.path());
    assert!(matches!(again, Err(KeyError::Taken { .. })));
}

#[test]
fn a_key_is_for_its_owner_alone() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("a folder");
    let authority = KeyAuthority::create(folder.path()).expect("it is empty");
    let file = authority.issue("entry-1", 30).expect("a good name");
    let key = fs::metadata(file.with_extension("key")).expect("it is there");
    assert_eq!(key.permissions().mode() & 0o777, KEY_MODE);
}

#[test]
fn a_daemon_takes_neither_a_bad_name_nor_the_authoritys() {
    let folder = tempfile::tempdir().expect("a folder");
    let authority = KeyAuthority::create(folder.path()).expect("it is empty");
    assert!(matches!(authority.issue("../x", 1), Err(KeyError::Name(_))));
    assert!(matches!(
        authority.issue("authority", 1),
        Err(KeyError::Reserved)
    ));
}
