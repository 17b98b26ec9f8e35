//! Callers' requests, handed to the owner wherever it is.

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
use crate::sched::COME_BACK;
use crate::sched::message::{Answer, JobRequest};
use crate::utils::clock::{self, Millis};
use crate::web::{Reply, Request};

/// Longest that a request is held before it is given up, in milliseconds: a
/// takeover, and under half of what callers wait.
const HOLD_LIMIT: Millis = 1_300;
/// Milliseconds without an owner after which a box that the store does not serve either
/// holds no request: it can neither find the owner nor become it, and another box can.
const CUT_OFF_AFTER: Millis = 1_500;
/// Time between two tries to reach the owner.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Longest that a request waits in all while the owner works on it, in
/// milliseconds: two commits to a slow store, and under half of what callers wait.
const ANSWER_LIMIT: Millis = 1_450;
/// Longest that one try waits for the owner in another box, in milliseconds: the
/// connection may have fallen silent, and the owner knows the request when it
/// comes again.
const TRY_TIMEOUT: Millis = 700;
/// Milliseconds of the caller's caller_timeout kept for the way back.
const REPLY_RESERVE: Millis = 100;

/// Takes a caller's request to its answer.
pub async fn handle(shared: Rc<Shared>, request: Request) -> Reply {
    let queues = shared.queues();
    if queues.version() == 0 {
        log::info!(target: "desk", "event=refused reason=no-config");
        return ingress::to_reply(&Answer::Refused(COME_BACK));
    }
    let ask = match ingress::parse_request(&request, &queues) {
        Ok(ask) => ask,
        Err(reply) => {
            if reply.status != StatusCode::NOT_FOUND {
                log::warn!(target: "desk", "event=bad-request path={} status={}", request.uri.path(), reply.status);
            }
            return *reply;
        }
    };
    let caller_timeout = ingress::caller_timeout(&request).saturating_sub(REPLY_RESERVE);
    let start = clock::micros();
    let answer = ask_owner(&shared, &ask, caller_timeout).await;
    let took = clock::micros() - start;
    crate::metrics::get().seconds.observe(took as f64 / 1e6);
    if !matches!(ask, JobRequest::Show(_) | JobRequest::Count(_)) {
        let (what, id) = name(&ask);
        let version = queues.version();
        log::info!(target: "desk", "job={id} event={what} answer={answer:?} us={took} config={version}");
    }
    ingress::to_reply(&answer)
}

fn name(ask: &JobRequest) -> (&'static str, &str) {
    let what = match ask {
        JobRequest::Submit { .. } => "submit",
        JobRequest::Cancel(_) => "cancel",
        JobRequest::Show(_) => "show",
        JobRequest::Count(_) => "count",
    };
    (what, ask.subject())
}

/// Asks the owner, and its successor when it is replaced meanwhile.
async fn ask_owner(shared: &Rc<Shared>, ask: &JobRequest, caller_timeout: Millis) -> Answer {
    let start = clock::now();
    // Once a try may have reached an owner, the request may have been done.
    let mut doubt = false;
    let mut tries = 0;
    loop {
        let spent = clock::now() - start;
        if spent >= caller_timeout.min(HOLD_LIMIT) {
            return give_up(ask, doubt, "no-owner", spent);
        }
        if tries > 0 && is_cut_off(shared) {
            return give_up(ask, doubt, "cut-off", spent);
        }
        tries += 1;
        let left = caller_timeout.min(ANSWER_LIMIT) - spent;
        match try_owner(shared, ask, left).await {
            Ok(Answer::Refused(_) | Answer::Unknown) if doubt && changes_state(ask) => {
                return give_up(ask, doubt, "earlier-try-in-doubt", spent);
            }
            Ok(answer) => return answer,
            Err(Failure::Lost) => doubt = true,
            Err(Failure::NotThere) => {}
        }
        shared.check_owner_now();
        sleep(RETRY_PAUSE).await;
    }
}

/// Returns true while neither an owner nor the store serves this box.
fn is_cut_off(shared: &Shared) -> bool {
    shared.unserved_ms() > CUT_OFF_AFTER && !shared.store_serves()
}

fn changes_state(ask: &JobRequest) -> bool {
    matches!(ask, JobRequest::Submit { .. } | JobRequest::Cancel(_))
}

fn give_up(ask: &JobRequest, doubt: bool, reason: &str, spent: Millis) -> Answer {
    let (what, id) = name(ask);
    log::info!(target: "desk", "job={id} event=given-up ask={what} reason={reason} doubt={doubt} spent_ms={spent}");
    match doubt && changes_state(ask) {
        true => Answer::InDoubt,
        false => Answer::Refused(COME_BACK),
    }
}

/// Why one try has no answer.
enum Failure {
    /// The owner did not get it.
    NotThere,
    /// The owner may have got it.
    Lost,
}

async fn try_owner(shared: &Rc<Shared>, ask: &JobRequest, left: Millis) -> Result<Answer, Failure> {
    if shared.local_epoch().is_some() {
        return match ask_local_owner(shared, ask.clone(), left).await {
            Some(answer) => Ok(answer),
            None => Err(Failure::Lost),
        };
    }
    let Some(owner) = shared.owner().filter(|o| !o.row.released) else {
        return Err(Failure::NotThere);
    };
    if owner.row.address == shared.settings.rpc {
        return Err(Failure::NotThere);
    }
    let left = left.min(TRY_TIMEOUT);
    let message = AskRequest {
        ask: crate::table::encode(ask),
        left,
    };
    let call = |c| async move { ClusterClient::new(c).ask(message).await };
    match shared.channel(owner.row.address).call(left, call).await {
        Ok(AskReply { answer }) if answer.is_empty() => Err(Failure::NotThere),
        Ok(AskReply { answer }) => serde_json::from_slice(&answer).map_err(|e| {
            log::error!(target: "desk", "event=malformed-answer cause=\"{e}\"");
            Failure::Lost
        }),
        Err(CallError::NotSent(_)) => Err(Failure::NotThere),
        Err(_) => Err(Failure::Lost),
    }
}

/// Asks the owner in this process; none when it does not answer in time.
pub async fn ask_local_owner(shared: &Shared, ask: JobRequest, left: Millis) -> Option<Answer> {
    let (reply, answer) = oneshot::channel();
    shared.send_to_owner(Message::Request(ask, reply));
    timeout(Duration::from_millis(left), answer)
        .await
        .ok()?
        .ok()
}
