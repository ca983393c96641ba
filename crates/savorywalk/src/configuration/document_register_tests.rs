use super::*;

fn born(endpoint: &str, born_ms: u64) -> EndpointIncarnation {
    EndpointIncarnation {
        endpoint: endpoint.into(),
        born_ms,
    }
}

fn command(number: u64, content: &'static str) -> DocumentCommand {
    DocumentCommand {
        number,
        content: Bytes::from_static(content.as_bytes()),
        author: "operator".into(),
    }
}

#[test]
fn the_highest_number_is_in_force_whatever_the_order() {
    let mut register = DocumentRegister::default();
    assert!(register.publish(command(4, "four")).accepted);
    assert!(!register.publish(command(2, "two")).accepted);
    assert!(register.publish(command(9, "nine")).accepted);
    assert_eq!(
        (register.number(), &register.content()[..]),
        (9, &b"nine"[..])
    );
}

#[test]
fn a_document_sent_again_changes_nothing_and_is_no_conflict() {
    let mut register = DocumentRegister::default();
    register.publish(command(4, "four"));
    let again = register.publish(command(4, "four"));
    assert!(!again.accepted && !again.conflict);
}

#[test]
fn other_content_under_the_number_in_force_is_never_obeyed() {
    let mut register = DocumentRegister::default();
    register.publish(command(4, "four"));
    assert!(register.publish(command(4, "other")).conflict);
    assert_eq!(&register.content()[..], b"four");
}

#[test]
fn a_follower_gets_just_the_retirements_that_it_has_missed() {
    let mut register = DocumentRegister::default();
    register.retire(born("a", 0));
    register.retire(born("b", 0));
    register.retire(born("a", 0));
    assert_eq!(register.retired_total(), 2);
    let missed: Vec<&EndpointIncarnation> = register.retired_after(1).collect();
    assert_eq!(missed, [&born("b", 0)]);
}

#[test]
fn a_retirement_holds_for_earlier_incarnations_and_not_for_later_ones() {
    let mut register = DocumentRegister::default();
    register.retire(born("a", 200));
    assert!(register.is_retired(&born("a", 100)));
    assert!(register.is_retired(&born("a", 200)));
    assert!(!register.is_retired(&born("a", 300)));
    assert!(!register.is_retired(&born("b", 100)));
    register.retire(born("a", 100));
    assert_eq!(register.retired_total(), 1, "a late word of an earlier one");
    register.retire(born("a", 300));
    assert_eq!(register.retired_total(), 2);
}

#[test]
fn retirements_beyond_the_bound_are_forgotten_and_counted() {
    let mut register = DocumentRegister::default();
    for number in 0..MAX_RETIRED + 3 {
        register.retire(born(&format!("e{number}"), 0));
    }
    assert_eq!(register.retired_after(0).count(), MAX_RETIRED);
    let total = register.retired_total();
    assert_eq!(register.retired_after(total - 1).count(), 1);
}

#[test]
fn a_snapshot_carries_everything() {
    let mut register = DocumentRegister::default();
    register.publish(command(4, "four"));
    register.retire(born("a", 7));
    let restored = DocumentRegister::restore(register.snapshot());
    assert_eq!(restored, register);
}
