//! Conversions between protocol messages and the engine's types.

use std::net::SocketAddr;

use tonic::Status;

use super::workers::shape_from_proto;
use crate::cell::Class;
use crate::claim::{CellRow, VersionedCell};
use crate::engine::Greeting;
use crate::proto;
use crate::request::Meta;
use crate::route::CellLoad;
use crate::utils::Name;

/// Converts a greeting from its message; fails if its address is invalid.
pub fn greeting_from_proto(message: proto::Greeting) -> Result<Greeting, Status> {
    let rpc: Result<SocketAddr, _> = message.address.parse();
    let Ok(rpc) = rpc else {
        return Err(Status::invalid_argument(
            "the greeting has no valid socket address",
        ));
    };
    Ok(Greeting {
        from: message.from.into(),
        rpc,
        hall: message.hall.into(),
        config: message.config,
        stopping: message.stopping,
        ask: non_empty_name(message.ask),
        sent: message.sent,
        moves: message.moves,
        moved: message.moved.into_iter().map(versioned_cell).collect(),
        loads: message.cells.into_iter().map(cell_load).collect(),
    })
}

/// Converts a greeting to its message.
pub fn greeting_to_proto(greeting: Greeting) -> proto::Greeting {
    proto::Greeting {
        from: greeting.from.to_string(),
        address: greeting.rpc.to_string(),
        hall: greeting.hall.to_string(),
        config: greeting.config,
        stopping: greeting.stopping,
        ask: greeting.ask.map(|a| a.to_string()).unwrap_or_default(),
        sent: greeting.sent,
        moves: greeting.moves,
        moved: greeting.moved.into_iter().map(moved_to_proto).collect(),
        cells: greeting.loads.into_iter().map(cell_load_to_proto).collect(),
    }
}

fn versioned_cell(moved: proto::Moved) -> VersionedCell {
    VersionedCell {
        cell: moved.cell.into(),
        version: moved.version,
        row: CellRow {
            owner: non_empty_name(moved.owner),
            epoch: moved.epoch,
        },
    }
}

fn moved_to_proto(versioned: VersionedCell) -> proto::Moved {
    proto::Moved {
        cell: versioned.cell.to_string(),
        version: versioned.version,
        owner: versioned.row.owner.unwrap_or_default().to_string(),
        epoch: versioned.row.epoch,
    }
}

fn cell_load(load: proto::CellLoad) -> CellLoad {
    CellLoad {
        cell: load.cell.into(),
        epoch: load.epoch,
        free_slots: load.free,
        queued: load.queued,
        free_cores: load.cores,
        largest_worker: shape_from_proto(load.largest.unwrap_or_default()),
    }
}

fn cell_load_to_proto(load: CellLoad) -> proto::CellLoad {
    proto::CellLoad {
        cell: load.cell.to_string(),
        epoch: load.epoch,
        free: load.free_slots,
        queued: load.queued,
        cores: load.free_cores,
        largest: Some(proto::Shape {
            slots: load.largest_worker.slots,
            connections: load.largest_worker.connections,
            cores: load.largest_worker.cores,
            memory: load.largest_worker.memory,
            accelerators: load.largest_worker.accelerators,
        }),
    }
}

/// Converts a request's header values from their message.
pub fn meta_from_proto(message: &proto::Meta) -> Meta {
    let class = match message.batch {
        true => Class::Batch,
        false => Class::Critical,
    };
    Meta {
        id: message.id.as_str().into(),
        service: message.service.as_str().into(),
        team: message.team.as_str().into(),
        class,
        repeatable: message.repeatable,
        time_left: message.left,
        issued: message.issued,
        sole_until: message.alone,
        retries: message.retries,
    }
}

/// Converts a request's header values to their message.
pub fn meta_to_proto(meta: &Meta, trace: String) -> proto::Meta {
    proto::Meta {
        id: meta.id.to_string(),
        service: meta.service.to_string(),
        team: meta.team.to_string(),
        batch: meta.class == Class::Batch,
        repeatable: meta.repeatable,
        left: meta.time_left,
        issued: meta.issued,
        retries: meta.retries,
        alone: meta.sole_until,
        trace,
    }
}

/// Returns the text as a name, or `None` if it is empty.
pub fn non_empty_name(text: String) -> Option<Name> {
    (!text.is_empty()).then(|| text.into())
}
