//! Tests of leases and promises; each name states the rule under test.

use super::*;

const TIMINGS: LeaseTimings = LeaseTimings {
    length: 1_000,
    margin: 200,
    promise: 400,
    outage: 5_000,
};

fn row(id: &str, successors: &[&str]) -> BoxRow {
    let name = id.split('.').next().unwrap_or(id);
    BoxRow {
        id: id.into(),
        name: name.into(),
        rpc: format!("127.0.0.1:{}", name.len()).into(),
        hall: "h".into(),
        successors: successors.iter().map(|s| Name::from(*s)).collect(),
        beat: 0,
    }
}

fn versioned(version: u64, row: BoxRow) -> VersionedBox {
    VersionedBox { version, row }
}

/// Has the lease apply a read of these rows, sent and answered at `now`.
fn read(lease: &mut Lease, now: Millis, rows: &[(u64, BoxRow)]) -> Vec<Action> {
    let rows = rows.iter().map(|(v, r)| versioned(*v, r.clone()));
    lease.apply_read(now, now, Some(rows.collect()))
}

/// Returns the lease of box `a` with a confirmed renewal sent at 0 and the successors `b.1` and
/// `c.1`.
fn confirmed_lease() -> Lease {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[(1, row("b.1", &[])), (1, row("c.1", &[]))]);
    let actions = lease.tick(0, 100);
    let beat = actions.iter().find_map(|a| match a {
        Action::Renew { row, .. } => Some(row.beat),
        _ => None,
    });
    lease.finish_renewal(50, beat.expect("a renewal"), WriteOutcome::Committed);
    lease
}

fn declares_dead(actions: &[Action], id: &str) -> bool {
    let matches_id =
        |a: &Action| matches!(a, Action::DeclareDead { id: dead, .. } if &**dead == id);
    actions.iter().any(matches_id)
}

#[test]
fn a_lease_counts_from_the_sending_of_its_renewal() {
    let lease = confirmed_lease();
    assert!(lease.may_act(999));
    assert!(!lease.may_act(1_000));
}

#[test]
fn past_its_lease_a_box_acts_only_while_all_successors_promise() {
    let mut lease = confirmed_lease();
    lease.record_promise(&"b.1".into(), 900);
    assert!(
        !lease.may_act(1_100),
        "only one of two successors has promised"
    );
    lease.record_promise(&"c.1".into(), 950);
    assert!(lease.may_act(1_100) && lease.acts_by_promises(1_100));
    assert!(
        !lease.may_act(1_300),
        "a promise counts from the sending of its request"
    );
}

#[test]
fn promises_do_not_extend_a_lease_past_the_longest_outage() {
    let mut lease = confirmed_lease();
    let outage_end = TIMINGS.length + TIMINGS.outage;
    for successor in ["b.1", "c.1"] {
        lease.record_promise(&successor.into(), outage_end - 100);
    }
    assert!(lease.may_act(outage_end - 1));
    assert!(!lease.may_act(outage_end));
}

#[test]
fn a_box_without_successors_stops_at_the_end_of_its_lease() {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[]);
    lease.tick(0, 100);
    lease.finish_renewal(50, 1, WriteOutcome::Committed);
    assert!(lease.may_act(999));
    assert!(!lease.may_act(1_000));
}

#[test]
fn the_successors_of_a_renewal_in_doubt_must_promise_too() {
    let mut lease = confirmed_lease();
    // The row of `b.1` is gone, so the next renewal lists `d.1` in its place.
    let rows = [
        (1, row("c.1", &[])),
        (1, row("d.1", &[])),
        (2, {
            let mut own = row("a.1", &[]);
            own.beat = 1;
            own
        }),
    ];
    read(&mut lease, 300, &rows);
    let actions = lease.tick(400, 1_000);
    assert!(actions.iter().any(|a| matches!(a, Action::Renew { .. })));
    let successors = lease.successors();
    for id in ["b.1", "c.1", "d.1"] {
        assert!(
            successors.contains(&id.into()),
            "{id} missing in {successors:?}"
        );
    }
}

#[test]
fn only_a_listed_successor_declares_a_box_dead() {
    let listing = row("x.1", &["a.1"]);
    let other = row("y.1", &["z.1"]);
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[(4, listing), (4, other)]);
    let early = lease.tick(TIMINGS.length + TIMINGS.margin - 1, 10_000);
    assert!(!declares_dead(&early, "x.1"));
    let due = lease.tick(TIMINGS.length + TIMINGS.margin, 10_000);
    assert!(declares_dead(&due, "x.1"));
    assert!(!declares_dead(&due, "y.1"));
}

#[test]
fn a_box_declares_no_other_dead_while_its_promise_lasts() {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[(4, row("x.1", &["a.1"]))]);
    let asked = TIMINGS.length + TIMINGS.margin - 100;
    assert!(lease.grant_promise(asked, &"x.1".into()));
    let held = lease.tick(asked + TIMINGS.promise + TIMINGS.margin - 1, 10_000);
    assert!(!declares_dead(&held, "x.1"));
    let due = lease.tick(asked + TIMINGS.promise + TIMINGS.margin, 10_000);
    assert!(declares_dead(&due, "x.1"));
}

#[test]
fn a_box_gives_no_promise_while_its_declaration_is_in_doubt() {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[(4, row("x.1", &["a.1"]))]);
    let due = lease.tick(2_000, 10_000);
    assert!(declares_dead(&due, "x.1"));
    lease.finish_declaration(2_050, &"x.1".into(), WriteOutcome::Unknown);
    assert!(!lease.grant_promise(2_100, &"x.1".into()));
    read(&mut lease, 2_200, &[(4, row("x.1", &["a.1"]))]);
    assert!(
        !lease.grant_promise(2_300, &"x.1".into()),
        "the row still has the version that the declaration expects"
    );
    read(&mut lease, 2_400, &[(5, row("x.1", &["a.1"]))]);
    assert!(lease.grant_promise(2_500, &"x.1".into()));
}

#[test]
fn a_read_sent_before_a_declaration_does_not_restore_the_dead_box() {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    let rows = [(4, row("x.1", &["a.1"]))];
    read(&mut lease, 0, &rows);
    assert!(declares_dead(&lease.tick(2_000, 10_000), "x.1"));
    lease.finish_declaration(2_100, &"x.1".into(), WriteOutcome::Committed);
    // This read was sent before the row was deleted.
    let old_rows = rows.iter().map(|(v, r)| versioned(*v, r.clone())).collect();
    lease.apply_read(2_200, 2_050, Some(old_rows));
    assert!(!lease.grant_promise(2_300, &"x.1".into()));
}

#[test]
fn a_restarted_box_declares_its_earlier_incarnation_dead_at_once() {
    let mut lease = Lease::new(TIMINGS, row("a.2", &[]));
    read(&mut lease, 0, &[(4, row("a.1", &["b.1"]))]);
    let due = lease.tick(1, 10_000);
    assert!(declares_dead(&due, "a.1"));
}

#[test]
fn a_box_whose_row_was_deleted_stops_acting() {
    let mut lease = confirmed_lease();
    assert!(lease.may_act(500));
    let actions = read(&mut lease, 500, &[]);
    assert_eq!(actions, [Action::Deposed]);
    assert!(!lease.may_act(500));
}

/// Returns the lease of a new box whose registration, sent at 0, has an unknown outcome.
fn registration_in_doubt() -> Lease {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[(1, row("b.1", &[]))]);
    lease.tick(0, 100);
    lease.finish_renewal(50, 1, WriteOutcome::Unknown);
    lease
}

#[test]
fn a_registration_in_doubt_is_not_written_again() {
    // The row may have been written and then deleted as that of a dead box. Writing it again would
    // revive this incarnation while its successors act in its place.
    let mut lease = registration_in_doubt();
    for now in [300, 2_000, 9_000] {
        let actions = lease.tick(now, 100);
        assert!(!actions.iter().any(|a| matches!(a, Action::Renew { .. })));
    }
    let actions = read(&mut lease, 9_100, &[(1, row("b.1", &[]))]);
    assert_eq!(actions, [Action::Deposed]);
    assert!(!lease.is_registered());
}

#[test]
fn a_read_that_contains_the_row_confirms_a_registration_in_doubt() {
    let mut lease = registration_in_doubt();
    let mut own = row("a.1", &["b.1"]);
    own.beat = 1;
    assert!(read(&mut lease, 200, &[(1, own)]).is_empty());
    assert!(lease.is_registered() && lease.may_act(999));
}
