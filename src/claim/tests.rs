//! Tests of how cells are assigned to boxes, claimed and released.

use super::*;
use crate::lease::WriteOutcome;

fn live_box(id: &str, hall: &str) -> LiveBox {
    LiveBox {
        id: id.into(),
        name: id.into(),
        hall: hall.into(),
    }
}

#[test]
fn cells_are_assigned_evenly_and_the_loss_of_a_box_moves_few() {
    let cells: Vec<Name> = (0..90).map(|i| format!("h/{i}").into()).collect();
    let boxes: Vec<LiveBox> = (0..9).map(|i| live_box(&format!("b{i}"), "h")).collect();
    let before = assign(&cells, &boxes);
    for live_box in &boxes {
        let count = before.values().filter(|b| **b == live_box.id).count();
        assert_eq!(count, 10);
    }
    let after = assign(&cells, &boxes[..8]);
    let moved = cells.iter().filter(|c| before[*c] != after[*c]).count();
    assert!(moved < 45, "{moved} of 90 moved");
}

#[test]
fn a_cell_is_assigned_to_a_box_of_its_hall() {
    let cells: Vec<Name> = vec!["a/1".into(), "b/1".into()];
    let boxes = [live_box("x", "a"), live_box("y", "b")];
    let owners = assign(&cells, &boxes);
    assert_eq!(&*owners[&cells[0]], "x");
    assert_eq!(&*owners[&cells[1]], "y");
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

/// Returns the claims of a stopping box that owns the cell at version 1 and epoch 1.
fn stopping_claims() -> Claims {
    let mut claims = Claims::new(ME.into());
    let cells = [Name::from(CELL)].into();
    claims.update_assignment(0, cells, vec![live_box(OTHER, "h")]);
    claims.apply_read(0, Some(vec![versioned(1, ME, 1)]));
    claims.stop();
    claims.tick(1, 1_000, |_| false);
    claims
}

/// Returns the release among actions: the expected version and the row.
fn release(actions: Vec<Action>) -> (u64, CellRow) {
    let write = actions.into_iter().find_map(|a| match a {
        Action::Release { expect, row, .. } => Some((expect, row)),
        _ => None,
    });
    write.expect("a release should be written")
}

#[test]
fn a_cell_reacquired_while_its_release_was_in_doubt_gets_a_higher_epoch() {
    let mut claims = stopping_claims();
    let cell: Name = CELL.into();
    let (expect, row) = release(claims.release(&cell));
    assert_eq!((expect, row.epoch), (1, 2));
    // The release took effect and the other box released the cell back; only the last row is read.
    claims.finish_release(&cell, expect, row, WriteOutcome::Unknown);
    claims.apply_read(2, Some(vec![versioned(3, ME, 3)]));
    let (expect, row) = release(claims.tick(3_000, 1_000, |_| false));
    assert_eq!((expect, row.epoch), (3, 4));
}

#[test]
fn a_reported_move_counts_like_a_read() {
    let mut claims = Claims::new(ME.into());
    let acquired = claims.apply_move(versioned(2, ME, 2));
    assert!(matches!(acquired, Some(Action::Acquired { epoch: 2, .. })));
    // An older version changes nothing.
    assert_eq!(claims.apply_move(versioned(1, OTHER, 1)), None);
    assert!(claims.owned().contains_key(CELL));
    let lost = claims.apply_move(versioned(3, OTHER, 3));
    assert!(matches!(lost, Some(Action::Lost { .. })));
}
