//! Tests of concurrent changes of the configuration, lost replies and the order of versions.

use super::*;
use crate::lease::WriteOutcome;
use crate::standin::table::Table;
use crate::table::{Call, Outcome};

/// Returns a change of one entry, under the condition that the entry has the version `expect`.
fn row(id: &str, expect: Option<u64>, value: &str) -> ChangeRow {
    let edit = Edit {
        key: "service/stock".into(),
        value: Some(value.into()),
        expect,
    };
    ChangeRow {
        version: 0,
        id: id.into(),
        author: "a".into(),
        when: 1,
        edits: vec![edit],
    }
}

const VALUE: &str = r#"{"team":"t","cores":100}"#;

/// Makes calls until the change is accepted or refused.
fn run_to_end(table: &mut Table, transaction: &mut ConfigTransaction, mut step: Step) -> Step {
    while let Step::Call(call) = step {
        step = transaction.advance(table.call(&call));
    }
    step
}

#[test]
fn of_two_concurrent_changes_one_is_accepted_and_the_other_conflicts() {
    let mut table = Table::default();
    let (mut a, step_a) = ConfigTransaction::new(row("a", Some(0), VALUE));
    let (mut b, step_b) = ConfigTransaction::new(row("b", Some(0), VALUE));
    // Both read before either writes.
    let Step::Call(read) = step_a else { panic!() };
    let commit_a = a.advance(table.call(&read));
    let Step::Call(read) = step_b else { panic!() };
    let commit_b = b.advance(table.call(&read));
    assert_eq!(run_to_end(&mut table, &mut a, commit_a), Step::Accepted(1));
    let Step::Refused(Refusal::Conflict { version, .. }) = run_to_end(&mut table, &mut b, commit_b)
    else {
        panic!("the second must be refused with a conflict");
    };
    assert_eq!(version, 1);
}

#[test]
fn changes_of_different_entries_do_not_conflict() {
    let mut table = Table::default();
    let (mut a, step_a) = ConfigTransaction::new(row("a", Some(0), VALUE));
    let mut other = row("b", Some(0), VALUE);
    other.edits[0].key = "service/orders".into();
    let (mut b, step_b) = ConfigTransaction::new(other);
    let Step::Call(read) = step_b else { panic!() };
    let commit_b = b.advance(table.call(&read));
    assert_eq!(run_to_end(&mut table, &mut a, step_a), Step::Accepted(1));
    assert_eq!(run_to_end(&mut table, &mut b, commit_b), Step::Accepted(2));
}

#[test]
fn a_commit_without_a_reply_is_found_by_its_id() {
    let mut table = Table::default();
    let (mut a, step) = ConfigTransaction::new(row("a", Some(0), VALUE));
    let Step::Call(read) = step else { panic!() };
    let Step::Call(commit) = a.advance(table.call(&read)) else {
        panic!()
    };
    table.call(&commit);
    let step = a.advance(Outcome::Written(WriteOutcome::Unknown));
    assert_eq!(run_to_end(&mut table, &mut a, step), Step::Accepted(1));
    // A repeated change with the same id is not applied again.
    let (mut again, step) = ConfigTransaction::new(row("a", Some(0), VALUE));
    assert_eq!(run_to_end(&mut table, &mut again, step), Step::Accepted(1));
}

#[test]
fn an_outage_counts_as_not_reached_before_the_commit_and_as_unknown_after_it() {
    let (mut a, _) = ConfigTransaction::new(row("a", None, VALUE));
    assert_eq!(
        a.advance(Outcome::Failed),
        Step::Refused(Refusal::NotReached)
    );
    let mut table = Table::default();
    let (mut b, step) = ConfigTransaction::new(row("b", None, VALUE));
    let Step::Call(read) = step else { panic!() };
    let Step::Call(Call::Commit(_)) = b.advance(table.call(&read)) else {
        panic!()
    };
    b.advance(Outcome::Written(WriteOutcome::Unknown));
    assert_eq!(b.advance(Outcome::Failed), Step::Refused(Refusal::Unknown));
}

#[test]
fn all_findings_are_reported() {
    let mut bad = row("x y", None, r#"{"team":"t","coers":1}"#);
    bad.edits.push(Edit {
        key: "colour/blue".into(),
        value: Some("1".into()),
        expect: None,
    });
    let (_, step) = ConfigTransaction::new(bad);
    let Step::Refused(Refusal::Invalid(findings)) = step else {
        panic!()
    };
    assert_eq!(findings.len(), 3, "{findings:?}");
}

#[test]
fn a_configuration_never_goes_back() {
    let mut config = Config::default();
    assert!(config.replace(5, Default::default()));
    assert!(!config.replace(4, Default::default()));
    assert!(!config.replace(5, Default::default()));
    let mut change = row("a", None, VALUE);
    change.version = 7;
    assert!(
        !config.apply(&change),
        "a change after a gap is not applied"
    );
    change.version = 6;
    assert!(config.apply(&change));
    assert!(!config.apply(&change), "not applied twice");
    assert!(config.service("stock").is_some());
}
