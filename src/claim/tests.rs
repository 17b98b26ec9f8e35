//! Tests of the spread of cells.

use super::*;

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
