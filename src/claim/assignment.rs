//! The spread of cells over live boxes.

use std::collections::BTreeMap;

use crate::utils::Name;
use crate::utils::hash::stable;

/// A live box for the plan.
#[derive(Clone, Debug)]
pub struct Host {
    /// Incarnation.
    pub id: Name,
    /// Name that stays the same after a restart.
    pub name: Name,
    /// Hall in which it stands.
    pub hall: Name,
}

/// Returns the box that each cell should belong to.
///
/// Rendezvous hashing with a bounded load: all boxes that see the same cells
/// and hosts agree, and a change of one host moves few cells. Boxes in the
/// cell's hall go first.
pub fn plan(cells: &[Name], hosts: &[Host]) -> BTreeMap<Name, Name> {
    let mut plan = BTreeMap::new();
    if hosts.is_empty() {
        return plan;
    }
    let mut order: Vec<&Name> = cells.iter().collect();
    order.sort_by_key(|c| (stable(&[c]), (*c).clone()));
    // Dedup shards cost little, so they are spread apart from the others.
    let (dedup, racks): (Vec<_>, Vec<_>) = order
        .into_iter()
        .partition(|c| c.starts_with(super::DEDUP_PREFIX));
    for group in [dedup, racks] {
        let bound = group.len().div_ceil(hosts.len()).max(1);
        let mut load: BTreeMap<&Name, usize> = BTreeMap::new();
        for cell in group {
            let host = choose(cell, hosts, &load, bound);
            *load.entry(&host.id).or_default() += 1;
            plan.insert(cell.clone(), host.id.clone());
        }
    }
    plan
}

fn choose<'h>(
    cell: &Name,
    hosts: &'h [Host],
    load: &BTreeMap<&Name, usize>,
    bound: usize,
) -> &'h Host {
    let hall = cell.split('/').next().unwrap_or("");
    let rank = |host: &&Host| {
        let full = load.get(&host.id).copied().unwrap_or(0) >= bound;
        let far = &*host.hall != hall;
        (full, far, stable(&[cell, &host.name]), host.id.clone())
    };
    // `hosts` is not empty: `plan` returns before otherwise.
    hosts.iter().min_by_key(rank).unwrap_or(&hosts[0])
}
