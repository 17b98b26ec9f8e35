//! Names of HTTP headers, and limits that several modules share.

/// Header of an answer: `answer`, `not-run` or `unknown`.
pub const VERDICT: &str = "willowpoint-verdict";
/// Header of an answer that is not from an endpoint: the reason.
pub const REASON: &str = "willowpoint-reason";
/// Header of a request: `latency-critical` (the default) or `batch`.
pub const CLASS: &str = "willowpoint-class";
/// Header of a request: name of the service that it is for.
pub const SERVICE: &str = "willowpoint-service";
/// Header of a request: milliseconds after which an answer is of no use.
pub const DEADLINE: &str = "willowpoint-deadline-ms";
/// Header of a request: `yes` if it may run more than once, otherwise `no`.
pub const REPEATABLE: &str = "willowpoint-repeatable";
/// Header of a request: its id, which a resend repeats.
pub const ID: &str = "willowpoint-id";
/// Header of a request: time at which it was first sent, in milliseconds since the Unix epoch.
pub const ISSUED: &str = "willowpoint-issued-ms";
/// Header of a request: `no` when the caller has not sent it before and will not
/// send it again before its deadline or an answer; `yes` otherwise.
pub const RESEND: &str = "willowpoint-resend";
/// Header of a request: the team whose quota it counts against.
pub const TEAM: &str = "willowpoint-team";
/// Header of a request to an endpoint: the cell of the endpoint.
pub const CELL: &str = "willowpoint-cell";
/// Header of a request to an endpoint: the epoch of the owner that sends it.
pub const EPOCH: &str = "willowpoint-epoch";
/// Header of a request to an endpoint: number of the request at the sending box.
pub const TICKET: &str = "willowpoint-ticket";
/// Header of a request to a stand-in worker: microseconds of work.
pub const WORK: &str = "willowpoint-work-us";
/// Header of a request to an endpoint: time after which it must not be run, in milliseconds since
/// the Unix epoch.
pub const NOT_AFTER: &str = "willowpoint-not-after-ms";
/// Header of a `not-run` answer: milliseconds after which the caller may retry.
pub const RETRY_AFTER: &str = "willowpoint-retry-after-ms";
/// Header of the trace context (W3C Trace Context, level 1).
pub const TRACEPARENT: &str = "traceparent";

/// Number of dedup shards over which non-repeatable requests are spread.
pub const DEDUP_SHARDS: u64 = 32;
/// Longest accepted name or id, in bytes.
pub const NAME_LIMIT: usize = 128;
/// Number of thousandths in one.
pub const PER_MILLE: u32 = 1_000;
