//! Assignment of cells to live boxes.

use std::collections::BTreeMap;

use crate::utils::Name;
use crate::utils::hash::stable;

/// A box to which cells may be assigned.
#[derive(Clone, Debug)]
pub struct LiveBox {
    /// Incarnation of the box.
    pub id: Name,
    /// Name of the box, which it keeps after a restart.
    pub name: Name,
    /// Hall of the box.
    pub hall: Name,
}

/// Returns the incarnation that should own each cell.
///
/// Uses rendezvous hashing with a bounded load, so that all boxes that see the same cells and live
/// boxes compute the same assignment, and the loss of one box moves few cells. Boxes in the cell's
/// hall are preferred.
pub fn assign(cells: &[Name], boxes: &[LiveBox]) -> BTreeMap<Name, Name> {
    let mut owners = BTreeMap::new();
    if boxes.is_empty() {
        return owners;
    }
    let mut order: Vec<&Name> = cells.iter().collect();
    order.sort_by_key(|c| (stable(&[c]), (*c).clone()));
    // Dedup shards cost little, so the limit of cells per box is separate for them.
    let (dedup, racks): (Vec<_>, Vec<_>) = order
        .into_iter()
        .partition(|c| c.starts_with(super::DEDUP_PREFIX));
    for group in [dedup, racks] {
        let limit = group.len().div_ceil(boxes.len()).max(1);
        let mut load: BTreeMap<&Name, usize> = BTreeMap::new();
        for cell in group {
            let owner = choose_box(cell, boxes, &load, limit);
            *load.entry(&owner.id).or_default() += 1;
            owners.insert(cell.clone(), owner.id.clone());
        }
    }
    owners
}

/// Returns the box with the highest rank for a cell among those below the limit of cells.
fn choose_box<'b>(
    cell: &Name,
    boxes: &'b [LiveBox],
    load: &BTreeMap<&Name, usize>,
    limit: usize,
) -> &'b LiveBox {
    let hall = cell.split('/').next().unwrap_or("");
    let rank = |b: &&LiveBox| {
        let full = load.get(&b.id).copied().unwrap_or(0) >= limit;
        let other_hall = &*b.hall != hall;
        (full, other_hall, stable(&[cell, &b.name]), b.id.clone())
    };
    // `boxes` is not empty: `assign` has returned before if it is.
    boxes.iter().min_by_key(rank).unwrap_or(&boxes[0])
}
