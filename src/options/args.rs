//! Defines the command-line arguments. Doc comments here are the help texts that are printed.

use std::net::SocketAddr;

use bpaf::Bpaf;

/// A scheduler for latency-critical and batch work on the same boxes.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run the daemon of an entry box until SIGTERM.
    ///
    ///
    /// Example: willowpoint entry --config settings/recoge-ya.toml
    #[bpaf(command)]
    Entry {
        /// Settings file
        #[bpaf(argument("FILE"))]
        config: String,
    },
    /// Run the daemon of a box on the platform until SIGTERM.
    ///
    ///
    /// Example: willowpoint serve --config /etc/willowpoint/settings.conf
    #[bpaf(command)]
    Serve {
        /// Settings file
        #[bpaf(argument("FILE"))]
        config: String,
    },
    /// Check settings files and print all findings.
    ///
    ///
    /// Example: willowpoint check settings/*.toml
    #[bpaf(command)]
    Check {
        /// Settings files
        #[bpaf(positional("FILE"), some("name at least one settings file"))]
        files: Vec<String>,
    },
    /// Run a stand-in for the platform or for a worker, for tests.
    #[bpaf(command("stand-in"))]
    StandIn(#[bpaf(external(stand_in))] StandIn),
    /// Run a whole deployment in one process for some seconds and print a summary.
    ///
    ///
    /// Example: willowpoint demo --seconds 10 --seed 1
    #[bpaf(command)]
    Demo(#[bpaf(external(demo))] Demo),
    /// Create, update, list and remove services.
    #[bpaf(command)]
    Service {
        #[bpaf(external(target))]
        /// Entry box to call
        target: Target,
        #[bpaf(external(service))]
        /// Command to run
        action: Service,
    },
    /// Submit, list, show and cancel batch jobs.
    #[bpaf(command)]
    Job {
        #[bpaf(external(target))]
        /// Entry box to call
        target: Target,
        #[bpaf(external(job))]
        /// Command to run
        action: Job,
    },
    /// Apply, show and list versions of the configuration.
    #[bpaf(command)]
    Config {
        #[bpaf(external(target))]
        /// Entry box to call
        target: Target,
        #[bpaf(external(config))]
        /// Command to run
        action: Config,
    },
    /// List entry boxes.
    #[bpaf(command("box"))]
    Box {
        #[bpaf(external(target))]
        /// Entry box to call
        target: Target,
        #[bpaf(external(boxes))]
        /// Command to run
        action: Boxes,
    },
    /// List, drain and restore workers.
    #[bpaf(command)]
    Worker {
        #[bpaf(external(target))]
        /// Entry box to call
        target: Target,
        #[bpaf(external(worker))]
        /// Command to run
        action: Worker,
    },
    /// List tasks.
    #[bpaf(command)]
    Task {
        #[bpaf(external(target))]
        /// Entry box to call
        target: Target,
        #[bpaf(external(task))]
        /// Command to run
        action: Task,
    },
    /// Show the state of one box.
    #[bpaf(command)]
    Status {
        #[bpaf(external(target))]
        /// Entry box to call
        target: Target,
    },
    /// Show the history of a job, task or worker, gathered from the logs of many boxes.
    ///
    ///
    /// Example: willowpoint explain 5c0e7a21d94b36f8 box1.log box2.log
    #[bpaf(command)]
    Explain {
        /// Print JSON
        json: bool,
        /// Id of a job, name of a task, or id of a worker
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files; standard input if none is given
        #[bpaf(positional("FILE"))]
        files: Vec<String>,
    },
    /// Show the spans of a trace, gathered from log files.
    ///
    ///
    /// Example: willowpoint trace 4bf92f3577b34da6a3ce929d0e0e4736 e1.log e2.log
    #[bpaf(command)]
    Trace {
        /// Print JSON
        json: bool,
        /// Trace id in hexadecimal
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files; standard input if none is given
        #[bpaf(positional("FILE"))]
        files: Vec<String>,
    },
}

/// Boxes that an operator's command calls, and the output format.
#[derive(Debug, Clone, Bpaf)]
pub struct Target {
    /// RPC address of an entry box; may be repeated, the first that can be reached is called
    #[bpaf(long("at"), env("WILLOWPOINT_AT"), argument("IP:PORT"), many)]
    pub at: Vec<SocketAddr>,
    /// Milliseconds to wait for a reply
    #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
    pub timeout: u64,
    /// Print JSON instead of a table
    pub json: bool,
}

/// Stand-ins for other parts of a deployment, for tests.
#[derive(Debug, Clone, Bpaf)]
pub enum StandIn {
    /// The platform: table, object store and directory of workers.
    ///
    ///
    /// Example: willowpoint stand-in platform --rpc 127.0.0.1:9000
    #[bpaf(command)]
    Platform {
        /// Listening address of the RPC service
        #[bpaf(argument("IP:PORT"))]
        rpc: SocketAddr,
        /// Most rows written per second; 0 for no limit
        #[bpaf(argument("N"), fallback(300), display_fallback)]
        writes: u64,
        /// Most rows read per second; 0 for no limit
        #[bpaf(argument("N"), fallback(2_000), display_fallback)]
        reads: u64,
    },
    /// A worker: an endpoint with slots, and batch tasks.
    ///
    ///
    /// Example: willowpoint stand-in worker --name w1 --hall h1 --rack r1
    /// --http 127.0.0.1:9101 --rpc 127.0.0.1:9102 --platform 127.0.0.1:9000
    #[bpaf(command)]
    Worker {
        /// Name of the worker
        #[bpaf(argument("NAME"))]
        name: String,
        /// Hall of the worker
        #[bpaf(argument("HALL"))]
        hall: String,
        /// Rack of the worker
        #[bpaf(argument("RACK"))]
        rack: String,
        /// Listening address of the endpoint
        #[bpaf(argument("IP:PORT"))]
        http: SocketAddr,
        /// Listening address of the RPC service
        #[bpaf(argument("IP:PORT"))]
        rpc: SocketAddr,
        /// Platform stand-in to register with
        #[bpaf(argument("IP:PORT"))]
        platform: Option<SocketAddr>,
        /// Most concurrent requests
        #[bpaf(argument("N"), fallback(8), display_fallback)]
        slots: u32,
        /// Most concurrent connections
        #[bpaf(argument("N"), fallback(64), display_fallback)]
        connections: u32,
        /// Processors in thousandths of a core
        #[bpaf(argument("N"), fallback(16_000), display_fallback)]
        cores: u32,
        /// Memory in MiB
        #[bpaf(argument("N"), fallback(60_000), display_fallback)]
        memory: u32,
        /// Number of accelerators
        #[bpaf(argument("N"), fallback(0), display_fallback)]
        accelerators: u32,
        /// Microseconds that a request takes without interference
        #[bpaf(argument("US"), fallback(5_000), display_fallback)]
        service: u64,
        /// Accept orders of outdated epochs
        unfenced: bool,
    },
}

/// Options of the demo.
#[derive(Debug, Clone, Bpaf)]
pub struct Demo {
    /// Seconds of load
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub seconds: u64,
    /// Seed of the random load
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Print the summary as JSON
    pub json: bool,
}

/// Commands on services.
#[derive(Debug, Clone, Bpaf)]
pub enum Service {
    /// Create a service; refused if it exists.
    ///
    ///
    /// Example: willowpoint service --at 127.0.0.1:9080 create stock --team pharmacy
    #[bpaf(command)]
    Create(#[bpaf(external(service_spec))] ServiceSpec),
    /// Update a service; refused if it does not exist or has another version than --expect.
    #[bpaf(command)]
    Update {
        /// Expected present version of the entry
        #[bpaf(argument("VERSION"))]
        expect: Option<u64>,
        #[bpaf(external(service_spec))]
        /// New definition of the service
        spec: ServiceSpec,
    },
    /// List services.
    #[bpaf(command)]
    List,
    /// Remove a service.
    #[bpaf(command)]
    Remove {
        /// Expected present version of the entry
        #[bpaf(argument("VERSION"))]
        expect: Option<u64>,
        /// Name of the service
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Definition of a service.
#[derive(Debug, Clone, Bpaf)]
pub struct ServiceSpec {
    /// Team that owns the service
    #[bpaf(argument("TEAM"))]
    pub team: String,
    /// Processor need of one request, in thousandths of a core
    #[bpaf(argument("N"), fallback(500), display_fallback)]
    pub cores: u32,
    /// Memory need of one request, in MiB
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub memory: u32,
    /// Name of the service
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// Commands on jobs.
#[derive(Debug, Clone, Bpaf)]
pub enum Job {
    /// Submit a job; repeating it with the same id and content has no further effect.
    ///
    ///
    /// Example: willowpoint job --at 127.0.0.1:9080 submit settle-11 --team ledger
    /// --kind settlement --tasks 40 --cores 2000 --memory 4000 --work-ms 60000
    #[bpaf(command)]
    Submit {
        /// Team whose quota the job counts against
        #[bpaf(argument("TEAM"))]
        team: String,
        /// Kind of work; tasks of one kind are assumed to interfere alike
        #[bpaf(argument("KIND"))]
        kind: String,
        /// Number of tasks
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        tasks: u32,
        /// Processors of each task, in thousandths of a core
        #[bpaf(argument("N"), fallback(1_000), display_fallback)]
        cores: u32,
        /// Memory of each task, in MiB
        #[bpaf(argument("N"), fallback(0), display_fallback)]
        memory: u32,
        /// Number of accelerators of each task
        #[bpaf(argument("N"), fallback(0), display_fallback)]
        accelerators: u32,
        /// Duration of each task at full speed, in milliseconds
        #[bpaf(long("work-ms"), argument("MS"))]
        work: u64,
        /// Start within seconds, evicting other batch work if needed
        urgent: bool,
        /// Id of the job
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// List jobs.
    #[bpaf(command)]
    List {
        /// List only jobs after this id
        #[bpaf(argument("ID"), fallback(String::new()))]
        after: String,
    },
    /// Show a job.
    #[bpaf(command)]
    Show {
        /// Id of the job
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Cancel a job.
    #[bpaf(command)]
    Cancel {
        /// Id of the job
        #[bpaf(positional("ID"))]
        id: String,
    },
}

/// Commands on the configuration.
#[derive(Debug, Clone, Bpaf)]
pub enum Config {
    /// Set and remove entries in one atomic change.
    ///
    ///
    /// Example: willowpoint config --at 127.0.0.1:9080 apply
    /// --set 'team/ledger={"cores":64000,"weight":3}' --remove drain/w7
    #[bpaf(command)]
    Apply {
        /// Entry to set, as KIND/NAME=JSON
        #[bpaf(argument("ENTRY"), many)]
        set: Vec<String>,
        /// Entry to remove, as KIND/NAME
        #[bpaf(argument("ENTRY"), many)]
        remove: Vec<String>,
        /// Expected present version of every entry
        #[bpaf(argument("VERSION"))]
        expect: Option<u64>,
        /// Id of the change; repeating it with the same id has no further effect
        #[bpaf(argument("ID"))]
        id: Option<String>,
    },
    /// Show the entries of the current configuration.
    #[bpaf(command)]
    Show,
    /// List the latest versions.
    #[bpaf(command)]
    Versions {
        /// Number of versions
        #[bpaf(argument("N"), fallback(20), display_fallback)]
        limit: u32,
    },
}

/// Commands on entry boxes.
#[derive(Debug, Clone, Bpaf)]
pub enum Boxes {
    /// List entry boxes.
    #[bpaf(command)]
    List,
}

/// Commands on workers.
#[derive(Debug, Clone, Bpaf)]
pub enum Worker {
    /// List workers.
    #[bpaf(command)]
    List,
    /// Stop sending new work to a worker.
    #[bpaf(command)]
    Drain {
        /// Name of the worker
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Resume sending work to a drained worker.
    #[bpaf(command)]
    Restore {
        /// Name of the worker
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Commands on tasks.
#[derive(Debug, Clone, Bpaf)]
pub enum Task {
    /// List open and recently finished tasks.
    #[bpaf(command)]
    List {
        /// List only tasks of this job
        #[bpaf(argument("ID"), fallback(String::new()))]
        job: String,
    },
}
