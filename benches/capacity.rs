//! Measures how memory, message sizes and processor time grow with the size of a deployment, for
//! `docs/CAPACITY.md`.
//!
//! `cargo bench --bench capacity` measures each quantity at three sizes with fixed seeds and prints
//! the least-squares line with its largest relative residual.

use std::alloc::{GlobalAlloc, Layout, System};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use prost::Message;
use willowpoint::cell::{
    Action, CallOutcome, Cell, CellRequest, Class, ListedWorker, Policy, PollOutcome, PollReply,
    SendOutcome, SentPoll, Shape, Size, Timings,
};
use willowpoint::config::{Config, EntryRow};
use willowpoint::dedup::{DedupShard, DedupTimings};
use willowpoint::job::{JobShardRow, Spec, TaskRow, VersionedShard};
use willowpoint::proto;
use willowpoint::route::{CellLoad, Router};
use willowpoint::utils::Name;

/// An allocator that counts the bytes in use.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const SHAPE: Shape = Shape {
    slots: 8,
    connections: 64,
    cores: 64_000,
    memory: 250_000,
    accelerators: 2,
};
/// Number of workers in a rack.
const RACK_WORKERS: usize = 8;
/// Number of batch tasks that run on a worker at the target size, rounded up.
const RUNS_PER_WORKER: usize = 6;

fn main() {
    println!(
        "{:44} {:>12} {:>14} {:>10}",
        "what", "per unit", "fixed", "residual"
    );
    measure_memory();
    measure_messages();
    measure_time();
}

/// Prints the least-squares line through the measured points.
fn print_line(what: &str, unit: &str, points: &[(f64, f64)]) {
    let count = points.len() as f64;
    let mean = |f: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / count;
    let (x, y) = (mean(&|p| p.0), mean(&|p| p.1));
    let covariance: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = covariance / variance;
    let fixed = y - slope * x;
    let relative_error = |p: &(f64, f64)| ((fixed + slope * p.0 - p.1) / p.1.max(1.0)).abs();
    let residual = points.iter().map(relative_error).fold(0.0, f64::max) * 100.0;
    println!("{what:44} {slope:>9.2} {unit:2} {fixed:>11.0} {unit:2} {residual:>8.1} %");
}

/// Returns the bytes that the built value keeps allocated.
fn allocated_by<T>(build: impl FnOnce() -> T) -> f64 {
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let value = build();
    let after = ALLOCATED_BYTES.load(Ordering::Relaxed);
    drop(value);
    (after - before) as f64
}

/// Measures the memory of state in bytes.
fn measure_memory() {
    let sizes = [13, 52, 104];
    let points = sizes.map(|n| {
        (
            (n * RACK_WORKERS) as f64,
            allocated_by(|| cells(n, RUNS_PER_WORKER)),
        )
    });
    print_line("memory: worker with 6 runs", "B", &points);
    let points = sizes.map(|n| ((n * RACK_WORKERS) as f64, allocated_by(|| cells(n, 0))));
    print_line("memory: worker without runs", "B", &points);
    let points = [100, 500, 1_000].map(|n| (n as f64, allocated_by(|| router(n))));
    print_line("memory: cell in the view of a router", "B", &points);
    let points = [1_000, 10_000, 50_000].map(|n| (n as f64, allocated_by(|| dedup_shard(n))));
    print_line("memory: id in a dedup shard", "B", &points);
    let points = [100, 500, 1_000].map(|n| (n as f64, allocated_by(|| config(n))));
    print_line("memory: entry of the configuration", "B", &points);
}

/// Measures the sizes of messages and rows in bytes.
fn measure_messages() {
    let greeting_size = |n: usize| greeting(n).encoded_len() as f64;
    let points = [1, 26, 104].map(|n| (n as f64, greeting_size(n)));
    print_line("bytes: cell in a greeting", "B", &points);
    let points = [0, 6, 24].map(|n| (n as f64, sync_reply(n).encoded_len() as f64));
    print_line("bytes: run in a poll's reply", "B", &points);
    let request = proto::SyncRequest {
        cell: "hall-01/rack-01".into(),
        epoch: 7,
        lease: 10_000,
        acks: vec![7 << 32; 1],
        round: 100_000,
        not_after: 1_700_000_000_000,
    };
    println!(
        "{:44} {:>9} B",
        "bytes: poll's request",
        request.encoded_len()
    );
    let points = [8, 64, 256].map(|n| {
        let row = willowpoint::table::encode(&shard(n).row);
        (n as f64, row.len() as f64)
    });
    print_line("bytes: task in a job shard's row", "B", &points);
    let points = [100, 500, 1_000].map(|n| {
        let entries = willowpoint::table::encode(&config(n));
        (n as f64, entries.len() as f64)
    });
    print_line("bytes: entry in a snapshot", "B", &points);
}

/// Returns the duration of a call in nanoseconds: the best of five rounds.
fn best_nanos(calls: usize, mut work: impl FnMut()) -> f64 {
    let round = |work: &mut dyn FnMut()| {
        let start = Instant::now();
        (0..calls).for_each(|_| work());
        start.elapsed().as_nanos() as f64 / calls as f64
    };
    (0..5).map(|_| round(&mut work)).fold(f64::MAX, f64::min)
}

/// Measures the processor time of operations in nanoseconds.
fn measure_time() {
    let points = [94, 469, 938].map(|n| {
        let mut router = router(n);
        let nanos = best_nanos(100_000, || {
            if let Some(cell) = router.choose(&[]) {
                router.end_request(&cell);
            }
        });
        println!(
            "{:44} {nanos:>9.0} ns",
            format!("time: choice among {n} cells")
        );
        (n as f64, nanos)
    });
    print_line("time: cell more in a choice", "ns", &points);
    let points = [8, 32, 128].map(|n| (n as f64, measure_admission(n)));
    print_line("time: worker more in an admission", "ns", &points);
    let points = [8, 32, 128].map(|n| (n as f64, measure_placement(n)));
    print_line("time: worker more in a placement", "ns", &points);
    let points = [13, 52, 104].map(|n| {
        let mut all = cells(n, RUNS_PER_WORKER);
        let mut now = 2_000;
        let nanos = best_nanos(200, || {
            now += 1;
            all.iter_mut().for_each(|c| drop(c.tick(now, now * 1_000)));
        });
        ((n * RACK_WORKERS) as f64, nanos)
    });
    print_line("time: worker in a tick", "ns", &points);
    let points = [13, 52, 104].map(|n| {
        let mut all = cells(n, RUNS_PER_WORKER);
        let nanos = best_nanos(20, || {
            for cell in &mut all {
                poll_workers(cell, 2_000, RUNS_PER_WORKER);
            }
        });
        ((n * RACK_WORKERS) as f64, nanos)
    });
    print_line("time: poll's reply with 6 runs", "ns", &points);
    let points = [1, 26, 104].map(|n| {
        let message = greeting(n).encode_to_vec();
        let nanos = best_nanos(2_000, || {
            let decoded = proto::Greeting::decode(&message[..]);
            assert!(decoded.is_ok());
        });
        (n as f64, nanos)
    });
    print_line("time: cell in a greeting, decoded", "ns", &points);
}

/// Returns the duration of an admission in nanoseconds.
fn measure_admission(workers: usize) -> f64 {
    let mut cell = cell(0, workers, RUNS_PER_WORKER);
    let mut ticket = 0;
    let nanos = best_nanos(20_000, || {
        ticket += 1;
        let request = CellRequest {
            ticket,
            service: "stock".into(),
            class: Class::Critical,
            size: Size {
                cores: 100,
                memory: 0,
                accelerators: 0,
            },
            deadline: 1_000_000,
        };
        let actions = cell.admit(1_000, 1_000_000, request);
        assert!(matches!(actions[..], [Action::Send { .. }]));
        cell.finish_send(1_000, 1_001_000, ticket, SendOutcome::Answered);
    });
    println!(
        "{:44} {nanos:>9.0} ns",
        format!("time: admission among {workers} workers")
    );
    nanos
}

/// Returns the duration of the placement of a task in nanoseconds.
fn measure_placement(workers: usize) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..20 {
        let mut cell = cell(0, workers, 0);
        cell.load_shards(1_000, vec![shard(256)]);
        let start = Instant::now();
        let started = cell.start_tasks(1_000).len();
        best = best.min(start.elapsed().as_nanos() as f64 / started.max(1) as f64);
    }
    println!(
        "{:44} {best:>9.0} ns",
        format!("time: placement among {workers} workers")
    );
    best
}

fn cells(count: usize, runs: usize) -> Vec<Cell> {
    (0..count).map(|i| cell(i, RACK_WORKERS, runs)).collect()
}

/// Returns a cell whose workers have all been polled and run the given number of tasks each.
fn cell(index: usize, workers: usize, runs: usize) -> Cell {
    let name: Name = format!("hall-01/rack-{index:03}").into();
    let timings = Timings {
        run_lease: 10_000,
        margin: 2_000,
        poll_interval: 1_000,
    };
    let mut cell = Cell::new(name.clone(), 1, 0, Policy::default(), timings);
    let listed_worker = |i: usize| ListedWorker {
        name: format!("worker-{index:03}-{i:03}").into(),
        cell: name.clone(),
        http: SocketAddr::from(([10, 0, 0, 1], 1 + i as u16)),
        rpc: SocketAddr::from(([10, 0, 0, 2], 1 + i as u16)),
        leaving: false,
    };
    let listed: Vec<ListedWorker> = (0..workers).map(listed_worker).collect();
    cell.set_workers(&listed, &Default::default());
    cell.load_shards(0, Vec::new());
    poll_workers(&mut cell, 1_000, 0);
    if runs > 0 {
        cell.load_shards(1_000, vec![shard(workers * runs)]);
        let mut started = cell.start_tasks(1_000);
        while !started.is_empty() {
            for action in started.drain(..) {
                if let Action::Start { worker, run, .. } = action {
                    cell.finish_start(1_000, &worker, run.id, CallOutcome::Done(0));
                }
            }
            started = cell.start_tasks(1_000);
        }
    }
    cell
}

/// Passes a poll reply of each worker to the cell, with reports of up to `runs` of its runs.
fn poll_workers(cell: &mut Cell, now: u64, runs: usize) {
    let names: Vec<Name> = cell.workers.keys().cloned().collect();
    for name in names {
        let active = cell.workers[&name].runs.values().take(runs);
        let reports = active.map(|r| willowpoint::cell::RunReport {
            id: r.id,
            job: r.job.clone(),
            task: r.task,
            kind: r.kind.clone(),
            size: r.size,
            state: willowpoint::cell::RunState::Running,
            progress: 500,
            share: r.share,
            usage: r.size.cores,
        });
        let reply = PollReply {
            shape: SHAPE,
            runs: reports.collect(),
            ..PollReply::default()
        };
        let poll = SentPoll {
            sent: now,
            round: 1,
            acks: Vec::new(),
        };
        cell.finish_poll(now, now * 1_000, &name, poll, PollOutcome::Reply(reply));
    }
}

/// Returns a job shard with open tasks.
fn shard(tasks: usize) -> VersionedShard {
    let spec = Spec {
        id: "settlement-2026-11".into(),
        team: "ledger".into(),
        kind: "settlement".into(),
        tasks: tasks as u32,
        size: Size {
            cores: 1_000,
            memory: 1_000,
            accelerators: 0,
        },
        work: 60_000,
        urgent: false,
    };
    VersionedShard {
        key: "lot/hall-01/rack-001/settlement-2026-11.0".into(),
        version: 1,
        row: JobShardRow {
            spec,
            submitted: 1,
            epoch: 0,
            seq: 0,
            tasks: (0..tasks as u32).map(TaskRow::open).collect(),
        },
    }
}

/// Returns a router that knows the given number of cells of nine owners.
fn router(cells: usize) -> Router {
    let mut router = Router::new("hall-01".into(), 1);
    let load = |i: usize| CellLoad {
        cell: format!("hall-{:02}/rack-{i:03}", i % 21).into(),
        epoch: 1,
        free_slots: 30 + (i % 30) as u32,
        queued: 0,
        free_cores: 100_000,
        largest_worker: SHAPE,
    };
    for owner in 0..9 {
        let id: Name = format!("entry-{owner}.1").into();
        let rpc = Some(SocketAddr::from(([10, 0, 0, 3], 1 + owner as u16)));
        let loads = (0..cells).filter(|i| i % 9 == owner).map(load).collect();
        router.update_owner(0, &id, rpc, loads);
    }
    router
}

/// Returns a dedup shard that holds the given number of request ids.
fn dedup_shard(ids: usize) -> DedupShard {
    let mut shard = DedupShard::new(1, 0, DedupTimings::default());
    for index in 0..ids {
        let id: Name = format!("prescription-hold-{index:08}").into();
        shard.admit(1_000, &id, 1_000, 0);
    }
    shard
}

/// Returns a configuration with the given number of entries.
fn config(entries: usize) -> Config {
    let mut config = Config::default();
    let entry = |i: usize| {
        let key: Name = format!("service/service-{i:04}").into();
        let row = EntryRow {
            value: r#"{"team":"pharmacy","cores":500,"memory":200}"#.into(),
            version: i as u64,
        };
        (key, row)
    };
    config.replace(entries as u64, (0..entries).map(entry).collect());
    config
}

/// Returns a greeting that reports the load of the given number of cells.
fn greeting(cells: usize) -> proto::Greeting {
    let load = |i: usize| proto::CellLoad {
        cell: format!("hall-01/rack-{i:03}"),
        epoch: 12,
        free: 40,
        queued: 2,
        cores: 200_000,
        largest: Some(proto::Shape {
            slots: 8,
            connections: 64,
            cores: 64_000,
            memory: 250_000,
            accelerators: 2,
        }),
    };
    proto::Greeting {
        from: "entry-1.19aa0c45d00".into(),
        address: "10.0.0.1:9080".into(),
        hall: "hall-01".into(),
        config: 120_000,
        stopping: false,
        ask: "entry-2.19aa0c45d00".into(),
        sent: 123_456_789,
        cells: (0..cells).map(load).collect(),
        moves: 40,
        moved: Vec::new(),
    }
}

/// Returns a worker's reply to a poll with the given number of runs.
fn sync_reply(runs: usize) -> proto::SyncReply {
    let run = |i: usize| proto::Run {
        run: (7 << 32) + i as u64,
        job: "settlement-2026-11".into(),
        task: i as u32,
        state: proto::RunState::Running.into(),
        progress: 45_000,
        size: Some(proto::Size {
            cores: 1_000,
            memory: 1_000,
            accelerators: 0,
        }),
        kind: "settlement".into(),
        throttle: 1_000,
        usage: 990,
    };
    proto::SyncReply {
        refused: false,
        epoch: 7,
        shape: Some(proto::Shape {
            slots: 8,
            connections: 64,
            cores: 64_000,
            memory: 250_000,
            accelerators: 2,
        }),
        tickets: (0..7).map(|i| 1_000_000 + i).collect(),
        foreign: 0,
        runs: (0..runs).map(run).collect(),
        samples: Vec::new(),
        leaving: false,
    }
}
