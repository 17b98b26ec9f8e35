//! Tests of leases and promises, each named after the rule it is for.

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

fn read(lease: &mut Lease, now: Millis, rows: &[(u64, BoxRow)]) -> Vec<Action> {
    let rows = rows.iter().map(|(v, r)| versioned(*v, r.clone()));
    lease.read(now, now, Some(rows.collect()))
}

/// Returns the lease of box `a` that was confirmed as sent at 0, with the
/// successors `b.1` and `c.1`.
fn holder() -> Lease {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[(1, row("b.1", &[])), (1, row("c.1", &[]))]);
    let actions = lease.tick(0, 100);
    let beat = actions.iter().find_map(|a| match a {
        Action::Renew { row, .. } => Some(row.beat),
        _ => None,
    });
    lease.renewed(50, beat.expect("a renewal"), WriteOutcome::Committed);
    lease
}

fn declares(actions: &[Action], owner: &str) -> bool {
    let hits = |a: &Action| matches!(a, Action::Declare { owner: o, .. } if &**o == owner);
    actions.iter().any(hits)
}

#[test]
fn a_lease_counts_from_the_sending_of_the_renewal() {
    let lease = holder();
    assert!(lease.acts(999));
    assert!(!lease.acts(1_000));
}

#[test]
fn past_its_lease_a_box_acts_only_while_all_successors_promise() {
    let mut lease = holder();
    lease.promised_by(&"b.1".into(), 900);
    assert!(!lease.acts(1_100), "one promise of two");
    lease.promised_by(&"c.1".into(), 950);
    assert!(lease.acts(1_100) && lease.extended(1_100));
    assert!(!lease.acts(1_300), "a promise counts from its question");
}

#[test]
fn promises_do_not_carry_a_box_past_the_outage_bound() {
    let mut lease = holder();
    let late = TIMINGS.length + TIMINGS.outage;
    for successor in ["b.1", "c.1"] {
        lease.promised_by(&successor.into(), late - 100);
    }
    assert!(lease.acts(late - 1));
    assert!(!lease.acts(late));
}

#[test]
fn without_successors_nothing_carries_a_box_past_its_lease() {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[]);
    lease.tick(0, 100);
    lease.renewed(50, 1, WriteOutcome::Committed);
    assert!(lease.acts(999));
    assert!(!lease.acts(1_000));
}

#[test]
fn a_renewal_in_doubt_adds_its_successors_to_those_asked() {
    let mut lease = holder();
    // `b.1` has gone silent, so the next renewal lists another in its place.
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
    let asked = lease.successors();
    for id in ["b.1", "c.1", "d.1"] {
        assert!(asked.contains(&id.into()), "{id} missing in {asked:?}");
    }
}

#[test]
fn only_a_listed_successor_declares_a_box_dead() {
    let watched = row("x.1", &["a.1"]);
    let other = row("y.1", &["z.1"]);
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[(4, watched), (4, other)]);
    let early = lease.tick(TIMINGS.length + TIMINGS.margin - 1, 10_000);
    assert!(!declares(&early, "x.1"));
    let due = lease.tick(TIMINGS.length + TIMINGS.margin, 10_000);
    assert!(declares(&due, "x.1"));
    assert!(!declares(&due, "y.1"));
}

#[test]
fn a_box_that_has_promised_does_not_take_over() {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[(4, row("x.1", &["a.1"]))]);
    let asked = TIMINGS.length + TIMINGS.margin - 100;
    assert!(lease.asked(asked, &"x.1".into()));
    let held = lease.tick(asked + TIMINGS.promise + TIMINGS.margin - 1, 10_000);
    assert!(!declares(&held, "x.1"));
    let due = lease.tick(asked + TIMINGS.promise + TIMINGS.margin, 10_000);
    assert!(declares(&due, "x.1"));
}

#[test]
fn a_box_whose_takeover_is_in_doubt_promises_nothing() {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[(4, row("x.1", &["a.1"]))]);
    let due = lease.tick(2_000, 10_000);
    assert!(declares(&due, "x.1"));
    lease.declared(2_050, &"x.1".into(), WriteOutcome::Unknown);
    assert!(!lease.asked(2_100, &"x.1".into()));
    read(&mut lease, 2_200, &[(4, row("x.1", &["a.1"]))]);
    assert!(
        !lease.asked(2_300, &"x.1".into()),
        "the same version proves nothing"
    );
    read(&mut lease, 2_400, &[(5, row("x.1", &["a.1"]))]);
    assert!(lease.asked(2_500, &"x.1".into()));
}

#[test]
fn an_old_read_does_not_bring_a_dead_box_back() {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    let rows = [(4, row("x.1", &["a.1"]))];
    read(&mut lease, 0, &rows);
    assert!(declares(&lease.tick(2_000, 10_000), "x.1"));
    lease.declared(2_100, &"x.1".into(), WriteOutcome::Committed);
    // This read was sent before the row was deleted.
    let old = rows.iter().map(|(v, r)| versioned(*v, r.clone())).collect();
    lease.read(2_200, 2_050, Some(old));
    assert!(!lease.asked(2_300, &"x.1".into()));
}

#[test]
fn a_restarted_box_takes_the_place_of_the_one_before_it_at_once() {
    let mut lease = Lease::new(TIMINGS, row("a.2", &[]));
    read(&mut lease, 0, &[(4, row("a.1", &["b.1"]))]);
    let due = lease.tick(1, 10_000);
    assert!(declares(&due, "a.1"));
}

#[test]
fn a_box_whose_row_is_gone_stops_acting() {
    let mut lease = holder();
    assert!(lease.acts(500));
    let actions = read(&mut lease, 500, &[]);
    assert_eq!(actions, [Action::Deposed]);
    assert!(!lease.acts(500));
}

/// Returns a new box whose registration, sent at 0, has no known outcome.
fn registering() -> Lease {
    let mut lease = Lease::new(TIMINGS, row("a.1", &[]));
    read(&mut lease, 0, &[(1, row("b.1", &[]))]);
    lease.tick(0, 100);
    lease.renewed(50, 1, WriteOutcome::Unknown);
    lease
}

#[test]
fn a_registration_in_doubt_is_not_written_again() {
    // Its row may have been written, and deleted as that of a dead box: the
    // same incarnation would come back to life beside its successors.
    let mut lease = registering();
    for now in [300, 2_000, 9_000] {
        let again = lease.tick(now, 100);
        assert!(!again.iter().any(|a| matches!(a, Action::Renew { .. })));
    }
    let actions = read(&mut lease, 9_100, &[(1, row("b.1", &[]))]);
    assert_eq!(actions, [Action::Deposed]);
    assert!(!lease.registered());
}

#[test]
fn a_registration_in_doubt_is_settled_by_a_read_that_shows_it() {
    let mut lease = registering();
    let mut own = row("a.1", &["b.1"]);
    own.beat = 1;
    assert!(read(&mut lease, 200, &[(1, own)]).is_empty());
    assert!(lease.registered() && lease.acts(999));
}
