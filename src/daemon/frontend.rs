//! Takes callers' HTTP requests about jobs and forwards them to the owner, in this process or
//! in another box.

use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use http::StatusCode;
use monoio::time::{sleep, timeout};

use super::message::Message;
use super::shared::Shared;
use crate::platform::ingress;
use crate::proto::cluster_client::ClusterClient;
use crate::proto::{AskReply, AskRequest};
use crate::rpc::client::CallError;
use crate::sched::RETRY_AFTER;
use crate::sched::job_rows::{self, WorkerNames};
use crate::sched::message::{Answer, JobRequest};
use crate::utils::clock::{self, Millis};
use crate::web::callers::Charge;
use crate::web::{Reply, Request};

/// Longest time in milliseconds that a request waits for an owner to accept it: enough for a
/// takeover, and under half of the time that callers wait.
const HOLD_LIMIT: Millis = 1_300;
/// Milliseconds without an owner after which a box refuses requests if it cannot reach the
/// store either: it can neither find the owner nor become it, while another box can.
const CUT_OFF_AFTER: Millis = 1_500;
/// Pause between two attempts to reach the owner.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Longest total time in milliseconds that a request waits for the owner's answer: enough for
/// two commits to a slow store, and under half of the time that callers wait.
const ANSWER_LIMIT: Millis = 1_450;
/// Timeout in milliseconds of one attempt to reach an owner in another box. The connection may
/// be dead; a retry is safe because the owner recognizes a request that it has already seen.
const TRY_TIMEOUT: Millis = 700;
/// Copies of a job's description in memory until it is answered: one here, and one on its way to
/// the owner.
const COPIES: usize = 2;
/// Milliseconds of the caller's timeout reserved for sending the reply.
const REPLY_RESERVE: Millis = 100;

/// Handles one HTTP request of a caller and returns the reply.
pub async fn handle(shared: Rc<Shared>, request: Request) -> Reply {
    let queues = shared.queues();
    if queues.version() == 0 {
        log::info!(target: "desk", "event=refused reason=no-config");
        return ingress::to_reply(&Answer::Refused(RETRY_AFTER));
    }
    let job_request = match ingress::parse_request(&request, &queues) {
        Ok(job_request) => job_request,
        Err(reply) => {
            if reply.status != StatusCode::NOT_FOUND {
                log::warn!(target: "desk", "event=bad-request path={} status={}", request.uri.path(), reply.status);
            }
            return *reply;
        }
    };
    if let Some(reason) = invalidity(&job_request, shared.settings.owner.row_bytes) {
        let id = job_request.subject();
        log::warn!(target: "desk", "job={id} event=invalid reason=\"{reason}\"");
        return ingress::to_reply(&Answer::Invalid(reason));
    }
    let caller_timeout = ingress::caller_timeout(&request).saturating_sub(REPLY_RESERVE);
    let Ok(charge) = shared.callers.charge(COPIES * job_request.memory()) else {
        return ingress::to_reply(&Answer::Refused(RETRY_AFTER));
    };
    // The body is not needed any more, and the answer may take a while.
    drop(request);
    let start = clock::micros();
    let answer = ask_owner(&shared, &job_request, Rc::new(charge), caller_timeout).await;
    let took = clock::micros() - start;
    crate::metrics::get()
        .request_seconds
        .observe(took as f64 / 1e6);
    if !matches!(job_request, JobRequest::Show(_) | JobRequest::Count(_)) {
        let (kind, id) = kind_and_subject(&job_request);
        let version = queues.version();
        log::info!(target: "desk", "job={id} event={kind} answer={answer:?} us={took} config={version}");
    }
    ingress::to_reply(&answer)
}

/// Returns why a job can never be accepted, whatever its owner knows of the workers. Refusing it
/// here keeps it from the owner.
fn invalidity(request: &JobRequest, row_bytes: usize) -> Option<String> {
    let JobRequest::Submit { spec, queue, .. } = request else {
        return None;
    };
    let mut errors = spec.validation_errors();
    let names = WorkerNames::default();
    errors.extend(job_rows::storage_error(spec, queue, names, row_bytes));
    (!errors.is_empty()).then(|| errors.join("; "))
}

/// Returns the request's kind as logged, and the job id or queue name that it is about.
fn kind_and_subject(request: &JobRequest) -> (&'static str, &str) {
    let kind = match request {
        JobRequest::Submit { .. } => "submit",
        JobRequest::Cancel(_) => "cancel",
        JobRequest::Show(_) => "show",
        JobRequest::Count(_) => "count",
    };
    (kind, request.subject())
}

/// Sends the request to the owner until it is answered or the time is up; follows the owner
/// to another box if it changes meanwhile.
async fn ask_owner(
    shared: &Rc<Shared>,
    request: &JobRequest,
    charge: Rc<Charge>,
    caller_timeout: Millis,
) -> Answer {
    let start = clock::now();
    let mut doubt = Doubt::default();
    let mut tries = 0;
    loop {
        let spent = clock::now() - start;
        if spent >= caller_timeout.min(HOLD_LIMIT) {
            return give_up(request, doubt, "no-owner", spent);
        }
        if tries > 0 && is_cut_off(shared) {
            return give_up(request, doubt, "cut-off", spent);
        }
        tries += 1;
        let left = caller_timeout.min(ANSWER_LIMIT) - spent;
        match try_owner(shared, request, &charge, left).await {
            Ok((Answer::Refused(_) | Answer::Unknown, epoch))
                if changes_state(request) && !doubt.is_resolved_by(epoch) =>
            {
                return give_up(request, doubt, "earlier-try-in-doubt", spent);
            }
            Ok((answer, _)) => return answer,
            Err(Failure::AnswerLost(epoch)) => doubt.add(epoch),
            Err(Failure::NotDelivered) => {}
        }
        shared.check_owner_now();
        sleep(RETRY_PAUSE).await;
    }
}

/// Returns true when neither an owner nor the store serves this box.
fn is_cut_off(shared: &Shared) -> bool {
    shared.unserved_ms() > CUT_OFF_AFTER && !shared.store_serves()
}

/// Returns true when the request changes a job, so that its outcome can be in doubt.
fn changes_state(request: &JobRequest) -> bool {
    matches!(request, JobRequest::Submit { .. } | JobRequest::Cancel(_))
}

/// Logs that the request is given up, and returns the answer for the caller.
fn give_up(request: &JobRequest, doubt: Doubt, reason: &str, spent: Millis) -> Answer {
    let (kind, id) = kind_and_subject(request);
    let in_doubt = doubt.is_open();
    log::info!(target: "desk", "job={id} event=given-up ask={kind} reason={reason} doubt={in_doubt} spent_ms={spent}");
    match in_doubt && changes_state(request) {
        true => Answer::InDoubt,
        false => Answer::Refused(RETRY_AFTER),
    }
}

/// Why an attempt to reach the owner gave no answer.
enum Failure {
    /// The request did not reach an owner.
    NotDelivered,
    /// The request may have reached the owner of this epoch.
    AnswerLost(u64),
}

/// Whether an attempt whose answer was lost may have made a request take effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Doubt {
    /// Latest epoch of an owner that may have the request; 0 for none.
    epoch: u64,
}

impl Doubt {
    /// Adds an attempt to reach the owner of an epoch whose answer was lost.
    pub fn add(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Returns true when the request may have taken effect.
    pub fn is_open(self) -> bool {
        self.epoch > 0
    }

    /// Returns true when the answer of the owner of an epoch says whether the request has taken
    /// effect: that owner has loaded all that earlier ones stored, and they store nothing more.
    pub fn is_resolved_by(self, epoch: u64) -> bool {
        self.epoch < epoch
    }
}

/// Makes one attempt to get the owner's answer within `left` milliseconds. Returns the answer and
/// the owner's epoch.
async fn try_owner(
    shared: &Rc<Shared>,
    request: &JobRequest,
    charge: &Rc<Charge>,
    left: Millis,
) -> Result<(Answer, u64), Failure> {
    if let Some(epoch) = shared.local_epoch() {
        let (request, charge) = (request.clone(), charge.clone());
        let answer = ask_local_owner(shared, epoch, request, charge, left).await;
        let answer = answer.ok_or(Failure::AnswerLost(epoch))?;
        return Ok((answer, epoch));
    }
    let Some(owner) = shared.owner().filter(|o| !o.row.released) else {
        return Err(Failure::NotDelivered);
    };
    if owner.row.address == shared.settings.rpc {
        return Err(Failure::NotDelivered);
    }
    let (left, epoch) = (left.min(TRY_TIMEOUT), owner.row.epoch);
    let message = AskRequest {
        ask: crate::table::encode(request),
        left,
        epoch,
    };
    let call = |c| async move { ClusterClient::new(c).ask(message).await };
    match shared.channel(owner.row.address).call(left, call).await {
        Ok(AskReply { answer }) if answer.is_empty() => Err(Failure::NotDelivered),
        Ok(AskReply { answer }) => match serde_json::from_slice(&answer) {
            Ok(answer) => Ok((answer, epoch)),
            Err(e) => {
                log::error!(target: "desk", "event=malformed-answer cause=\"{e}\"");
                Err(Failure::AnswerLost(epoch))
            }
        },
        Err(CallError::NotSent(_)) => Err(Failure::NotDelivered),
        Err(_) => Err(Failure::AnswerLost(epoch)),
    }
}

/// Returns the answer of the owner of an epoch in this process, or `None` after `left`
/// milliseconds. The request may wait for the owner longer than that, with its charge.
pub async fn ask_local_owner(
    shared: &Shared,
    epoch: u64,
    request: JobRequest,
    charge: Rc<Charge>,
    left: Millis,
) -> Option<Answer> {
    let (reply, answer) = oneshot::channel();
    shared.send_to_owner(Message::Request(epoch, request, Some(charge), reply));
    timeout(Duration::from_millis(left), answer)
        .await
        .ok()?
        .ok()
}
