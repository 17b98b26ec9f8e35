//! Tests of the spread of cells.

use super::*;
use crate::lease::WriteOutcome;

fn host(id: &str, hall: &str) -> Host {
    Host {
        id: id.into(),
        name: id.into(),
        hall: hall.into(),
    }
}

#[test]
fn cells_are_spread_evenly_and_few_move() {
    let cells: Vec<Name> = (0..90).map(|i| format!("h/{i}").into()).collect();
    let hosts: Vec<Host> = (0..9).map(|i| host(&format!("b{i}"), "h")).collect();
    let before = plan(&cells, &hosts);
    for host in &hosts {
        let count = before.values().filter(|b| **b == host.id).count();
        assert_eq!(count, 10);
    }
    let after = plan(&cells, &hosts[..8]);
    let moved = cells.iter().filter(|c| before[*c] != after[*c]).count();
    assert!(moved < 45, "{moved} of 90 moved");
}

#[test]
fn a_cell_goes_to_a_box_of_its_hall() {
    let cells: Vec<Name> = vec!["a/1".into(), "b/1".into()];
    let hosts = [host("x", "a"), host("y", "b")];
    let plan = plan(&cells, &hosts);
    assert_eq!(&*plan[&cells[0]], "x");
    assert_eq!(&*plan[&cells[1]], "y");
}

const ME: &str = "me";
const OTHER: &str = "other";
const CELL: &str = "h/r0";

fn versioned(version: u64, owner: &str, epoch: u64) -> VersionedCell {
    VersionedCell {
        cell: CELL.into(),
        version,
        row: CellRow {
            owner: Some(owner.into()),
            epoch,
        },
    }
}

/// Returns claims that own the cell at version 1 and epoch 1 and are stopping.
fn leaving() -> Claims {
    let mut claims = Claims::new(ME.into());
    let cells = [Name::from(CELL)].into();
    claims.observe(0, cells, vec![host(OTHER, "h")]);
    claims.read(0, Some(vec![versioned(1, ME, 1)]));
    claims.stop();
    claims.tick(1, 1_000, |_| false);
    claims
}

fn release(actions: Vec<Action>) -> (u64, CellRow) {
    let write = actions.into_iter().find_map(|a| match a {
        Action::Release { expect, row, .. } => Some((expect, row)),
        _ => None,
    });
    write.expect("a release is written")
}

#[test]
fn a_cell_that_came_back_while_its_release_was_in_doubt_keeps_its_epoch_rising() {
    let mut claims = leaving();
    let cell: Name = CELL.into();
    let (expect, row) = release(claims.release(&cell));
    assert_eq!((expect, row.epoch), (1, 2));
    // It took effect, the other box gave the cell back, and only that is seen.
    claims.released(&cell, expect, row, WriteOutcome::Unknown);
    claims.read(2, Some(vec![versioned(3, ME, 3)]));
    let (expect, row) = release(claims.tick(3_000, 1_000, |_| false));
    assert_eq!((expect, row.epoch), (3, 4));
}

#[test]
fn a_move_that_another_box_tells_of_counts_like_a_read() {
    let mut claims = Claims::new(ME.into());
    let won = claims.told(versioned(2, ME, 2));
    assert!(matches!(won, Some(Action::Won { epoch: 2, .. })));
    // What is older than that changes nothing.
    assert_eq!(claims.told(versioned(1, OTHER, 1)), None);
    assert!(claims.mine().contains_key(CELL));
    let lost = claims.told(versioned(3, OTHER, 3));
    assert!(matches!(lost, Some(Action::Lost { .. })));
}
