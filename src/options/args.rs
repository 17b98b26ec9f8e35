//! Command-line arguments.

use std::net::SocketAddr;

use bpaf::Bpaf;

/// A scheduler for latency-critical and batch work on the same boxes.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run the daemon of an entry box until TERM.
    ///
    ///
    /// Example: willowpoint entry --config settings/recoge-ya.toml
    #[bpaf(command)]
    Entry {
        /// Settings file
        #[bpaf(argument("FILE"))]
        config: String,
    },
    /// Run the daemon of an entry box on the platform until TERM.
    ///
    ///
    /// Example: willowpoint serve --config /etc/willowpoint/settings.conf
    #[bpaf(command)]
    Serve {
        /// Settings file
        #[bpaf(argument("FILE"))]
        config: String,
    },
    /// Read settings files without starting; all findings are printed.
    ///
    ///
    /// Example: willowpoint check settings/*.toml
    #[bpaf(command)]
    Check {
        /// Settings files
        #[bpaf(positional("FILE"), some("name at least one settings file"))]
        files: Vec<String>,
    },
    /// Run a stand-in for the platform or for a worker.
    #[bpaf(command("stand-in"))]
    StandIn(#[bpaf(external(stand_in))] StandIn),
    /// Run everything in one process for some seconds and sum it up.
    ///
    ///
    /// Example: willowpoint demo --seconds 10 --seed 1
    #[bpaf(command)]
    Demo(#[bpaf(external(demo))] Demo),
    /// Create, update, list and remove services.
    #[bpaf(command)]
    Service {
        #[bpaf(external(target))]
        /// Where to ask
        target: Target,
        #[bpaf(external(service))]
        /// What to do
        action: Service,
    },
    /// Submit, list, show and cancel batch jobs.
    #[bpaf(command)]
    Job {
        #[bpaf(external(target))]
        /// Where to ask
        target: Target,
        #[bpaf(external(job))]
        /// What to do
        action: Job,
    },
    /// Apply, show and list versions of the configuration.
    #[bpaf(command)]
    Config {
        #[bpaf(external(target))]
        /// Where to ask
        target: Target,
        #[bpaf(external(config))]
        /// What to do
        action: Config,
    },
    /// List entry boxes.
    #[bpaf(command("box"))]
    Box {
        #[bpaf(external(target))]
        /// Where to ask
        target: Target,
        #[bpaf(external(boxes))]
        /// What to do
        action: Boxes,
    },
    /// List, drain and restore workers.
    #[bpaf(command)]
    Worker {
        #[bpaf(external(target))]
        /// Where to ask
        target: Target,
        #[bpaf(external(worker))]
        /// What to do
        action: Worker,
    },
    /// List tasks.
    #[bpaf(command)]
    Task {
        #[bpaf(external(target))]
        /// Where to ask
        target: Target,
        #[bpaf(external(task))]
        /// What to do
        action: Task,
    },
    /// Show the state of one box.
    #[bpaf(command)]
    Status {
        #[bpaf(external(target))]
        /// Where to ask
        target: Target,
    },
    /// Show the course of a job, task or worker out of the logs of many boxes.
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
        /// Log files; the standard input without any
        #[bpaf(positional("FILE"))]
        files: Vec<String>,
    },
    /// Show the spans of one trace out of log files.
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
        /// Log files; the standard input when none is named
        #[bpaf(positional("FILE"))]
        files: Vec<String>,
    },
}

/// Where an operator asks, and how the answer is printed.
#[derive(Debug, Clone, Bpaf)]
pub struct Target {
    /// RPC address of an entry box; repeated, the next is asked when one is not reached
    #[bpaf(long("at"), env("WILLOWPOINT_AT"), argument("IP:PORT"), many)]
    pub at: Vec<SocketAddr>,
    /// Milliseconds to wait for an answer
    #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
    pub timeout: u64,
    /// Print JSON for scripts
    pub json: bool,
}

/// Stand-ins.
#[derive(Debug, Clone, Bpaf)]
pub enum StandIn {
    /// Table, object store and list of workers.
    ///
    ///
    /// Example: willowpoint stand-in platform --rpc 127.0.0.1:9000
    #[bpaf(command)]
    Platform {
        /// Address of its RPC
        #[bpaf(argument("IP:PORT"))]
        rpc: SocketAddr,
        /// Rows written a second at most; 0 is no bound
        #[bpaf(argument("N"), fallback(300), display_fallback)]
        writes: u64,
        /// Rows read a second at most; 0 is no bound
        #[bpaf(argument("N"), fallback(2_000), display_fallback)]
        reads: u64,
    },
    /// An endpoint with slots, cores and batch tasks.
    ///
    ///
    /// Example: willowpoint stand-in worker --name w1 --hall h1 --rack r1
    /// --http 127.0.0.1:9101 --rpc 127.0.0.1:9102 --platform 127.0.0.1:9000
    #[bpaf(command)]
    Worker {
        /// Name of the worker
        #[bpaf(argument("NAME"))]
        name: String,
        /// Hall in which it stands
        #[bpaf(argument("HALL"))]
        hall: String,
        /// Rack in which it stands
        #[bpaf(argument("RACK"))]
        rack: String,
        /// Address of its endpoint
        #[bpaf(argument("IP:PORT"))]
        http: SocketAddr,
        /// Address of its control
        #[bpaf(argument("IP:PORT"))]
        rpc: SocketAddr,
        /// Platform stand-in to register with
        #[bpaf(argument("IP:PORT"))]
        platform: Option<SocketAddr>,
        /// Requests at once
        #[bpaf(argument("N"), fallback(8), display_fallback)]
        slots: u32,
        /// Connections at once
        #[bpaf(argument("N"), fallback(64), display_fallback)]
        connections: u32,
        /// Thousandths of cores
        #[bpaf(argument("N"), fallback(16_000), display_fallback)]
        cores: u32,
        /// Mebibytes
        #[bpaf(argument("N"), fallback(60_000), display_fallback)]
        memory: u32,
        /// Accelerators
        #[bpaf(argument("N"), fallback(0), display_fallback)]
        accelerators: u32,
        /// Microseconds that a request takes alone
        #[bpaf(argument("US"), fallback(5_000), display_fallback)]
        service: u64,
        /// Fence nothing
        unfenced: bool,
    },
}

/// The demo.
#[derive(Debug, Clone, Bpaf)]
pub struct Demo {
    /// Seconds of load
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub seconds: u64,
    /// Seed of the load
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Print the summary as JSON
    pub json: bool,
}

/// Services.
#[derive(Debug, Clone, Bpaf)]
pub enum Service {
    /// Create a service; refused when it exists.
    ///
    ///
    /// Example: willowpoint service --at 127.0.0.1:9080 create stock --team pharmacy
    #[bpaf(command)]
    Create(#[bpaf(external(service_spec))] ServiceSpec),
    /// Update a service; refused when it does not exist or is not at --expect.
    #[bpaf(command)]
    Update {
        /// Version of the entry that the change is based on
        #[bpaf(argument("VERSION"))]
        expect: Option<u64>,
        #[bpaf(external(service_spec))]
        /// The service
        spec: ServiceSpec,
    },
    /// List services.
    #[bpaf(command)]
    List,
    /// Remove a service.
    #[bpaf(command)]
    Remove {
        /// Version of the entry that the change is based on
        #[bpaf(argument("VERSION"))]
        expect: Option<u64>,
        /// Name of the service
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// A service as given on the command line.
#[derive(Debug, Clone, Bpaf)]
pub struct ServiceSpec {
    /// Team that runs it
    #[bpaf(argument("TEAM"))]
    pub team: String,
    /// Thousandths of a core that one request needs
    #[bpaf(argument("N"), fallback(500), display_fallback)]
    pub cores: u32,
    /// Mebibytes that one request needs
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub memory: u32,
    /// Name of the service
    #[bpaf(positional("NAME"))]
    pub name: String,
}

/// Jobs.
#[derive(Debug, Clone, Bpaf)]
pub enum Job {
    /// Submit a job; a resend with the same id and content is submitted once.
    ///
    ///
    /// Example: willowpoint job --at 127.0.0.1:9080 submit settle-11 --team ledger
    /// --kind settlement --tasks 40 --cores 2000 --memory 4000 --work-ms 60000
    #[bpaf(command)]
    Submit {
        /// Team it is counted for
        #[bpaf(argument("TEAM"))]
        team: String,
        /// Kind of work; tasks of one kind hurt others alike
        #[bpaf(argument("KIND"))]
        kind: String,
        /// Number of tasks
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        tasks: u32,
        /// Thousandths of a core for each task
        #[bpaf(argument("N"), fallback(1_000), display_fallback)]
        cores: u32,
        /// Mebibytes for each task
        #[bpaf(argument("N"), fallback(0), display_fallback)]
        memory: u32,
        /// Accelerators for each task
        #[bpaf(argument("N"), fallback(0), display_fallback)]
        accelerators: u32,
        /// Milliseconds of work of each task
        #[bpaf(long("work-ms"), argument("MS"))]
        work: u64,
        /// Must start within seconds; other batch work yields
        urgent: bool,
        /// Id of the job
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// List jobs.
    #[bpaf(command)]
    List {
        /// Only jobs after this id
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

/// The configuration.
#[derive(Debug, Clone, Bpaf)]
pub enum Config {
    /// Set and remove entries in one change.
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
        /// Version that every entry must have
        #[bpaf(argument("VERSION"))]
        expect: Option<u64>,
        /// Id of the change; a resend with the same id is applied once
        #[bpaf(argument("ID"))]
        id: Option<String>,
    },
    /// Show the entries in force.
    #[bpaf(command)]
    Show,
    /// List the last versions.
    #[bpaf(command)]
    Versions {
        /// Number of versions
        #[bpaf(argument("N"), fallback(20), display_fallback)]
        limit: u32,
    },
}

/// Entry boxes.
#[derive(Debug, Clone, Bpaf)]
pub enum Boxes {
    /// List entry boxes.
    #[bpaf(command)]
    List,
}

/// Workers.
#[derive(Debug, Clone, Bpaf)]
pub enum Worker {
    /// List workers.
    #[bpaf(command)]
    List,
    /// Give a worker nothing new.
    #[bpaf(command)]
    Drain {
        /// Name of the worker
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Use a drained worker again.
    #[bpaf(command)]
    Restore {
        /// Name of the worker
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Tasks.
#[derive(Debug, Clone, Bpaf)]
pub enum Task {
    /// List tasks that have not ended long ago.
    #[bpaf(command)]
    List {
        /// Only tasks of this job
        #[bpaf(argument("ID"), fallback(String::new()))]
        job: String,
    },
}
