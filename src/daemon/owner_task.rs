//! Runs the owner in this process while this box is the owner: feeds it messages and makes the
//! calls that it asks for.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use monoio::time::sleep;

use super::commits::commit_as_owner;
use super::feeds;
use super::history;
use super::inbox::Inbox;
use super::message::{Message, Sent};
use super::shared::{Shared, now};
use super::term::Term;
use crate::sched::backlog::TIME_SLICE;
use crate::sched::failover;
use crate::sched::message::{Action, Answer, CommitOutcome, Event, Ticket};
use crate::sched::owner::Owner;
use crate::utils::clock::{self, Millis};
use crate::web::callers::Charge;

/// Pause after a time slice that leaves messages waiting.
const SLICE_PAUSE: Duration = Duration::from_millis(1);
/// Bounds of the wait for a commit's answer, in milliseconds, before its outcome is looked up:
/// many times the usual answer time, and the answer time of a slow store.
const ANSWER_WAIT: std::ops::RangeInclusive<Millis> = 120..=900;
/// The answer to a commit is awaited for this many times as long as the last commit took.
const ANSWER_WAIT_FACTOR: Millis = 3;

/// The owner in this process, its term and its pending requests and commit.
struct LocalOwner {
    owner: Owner,
    term: Term,
    pending: HashMap<Ticket, PendingRequest>,
    next_ticket: Ticket,
    /// Milliseconds after which the outcome of an unanswered commit is looked up.
    answer_wait: Millis,
    /// When the last commit was sent.
    commit_sent: Millis,
}

/// A request that the owner has not answered.
struct PendingRequest {
    /// Where the answer is sent.
    reply: oneshot::Sender<Answer>,
    /// Memory that the request holds until it is answered.
    _charge: Option<Rc<Charge>>,
}

/// Handles messages and timeouts until the process ends.
pub async fn run(shared: Rc<Shared>, mut inbox: Inbox) {
    let mut local: Option<LocalOwner> = None;
    loop {
        let wait = local.as_ref().map_or(1_000, |l| l.owner.due_in(now()));
        let due = clock::now() + wait;
        if !inbox.wait(Duration::from_millis(wait)).await {
            return;
        }
        if let Some(local) = &mut local {
            let woke = clock::now();
            local.term.record_lateness(woke.saturating_sub(due), woke);
        }
        run_time_slice(&shared, &mut local, &mut inbox);
        if !inbox.is_empty() {
            // The runtime handles timers only when no task is ready to run, so a task that yields
            // without a timer would hold up those of all others.
            sleep(SLICE_PAUSE).await;
        }
    }
}

/// Handles messages for a time slice.
fn run_time_slice(shared: &Rc<Shared>, local: &mut Option<LocalOwner>, inbox: &mut Inbox) {
    let began = clock::now();
    let mut next = inbox.next();
    if next.is_none() {
        let message = tick_message(local);
        next = Some(Sent { at: began, message });
    }
    while let Some(Sent { at, message }) = next {
        let now = clock::now();
        if let Some(local) = local {
            let lag = now.saturating_sub(at);
            local.owner.record_lag(lag);
            local.term.record_lateness(lag, now);
        }
        // A later owner relies on an ended term to act no more, whatever is queued for it.
        end_if_over(shared, local);
        handle_message(shared, local, message);
        next = match clock::now() < began + TIME_SLICE {
            true => inbox.next(),
            false => None,
        };
    }
    update_gauges(shared, local);
    end_if_over(shared, local);
}

/// Returns the message that is handled when a wait ends without a message.
fn tick_message(local: &Option<LocalOwner>) -> Message {
    Message::Event(local.as_ref().map_or(0, |l| l.term.epoch), Event::Tick)
}

/// Handles one message; a message for another epoch is dropped.
fn handle_message(shared: &Rc<Shared>, local: &mut Option<LocalOwner>, message: Message) {
    match (message, local.as_mut()) {
        // An owner whose load was aborted because of a later owner never begins.
        (Message::Begin(owner, epoch, load_ms), _) if shared.is_loading(epoch) => {
            *local = Some(begin_term(*owner, epoch, load_ms));
            shared.set_local_epoch(Some(epoch));
            shared.set_loading(None);
            // Cordons come before the first start: the predecessor may have known of them.
            if let Some(halls) = shared.cordoned() {
                shared.send_to_owner(Message::Event(epoch, Event::Cordoned(halls)));
            }
            monoio::spawn(feeds::follow_directory(shared.clone(), epoch));
            monoio::spawn(history::load(shared.clone(), epoch));
            if shared.is_stopping() {
                shared.send_to_owner(Message::Release);
            }
        }
        // Nobody waits for the answer any more, so the request is not carried out.
        (Message::Request(.., reply), _) if reply.is_canceled() => {}
        (Message::Request(epoch, request, _charge, reply), Some(local))
            if epoch == local.term.epoch =>
        {
            let ticket = local.next_ticket;
            local.next_ticket += 1;
            let pending = PendingRequest { reply, _charge };
            local.pending.insert(ticket, pending);
            local.apply_event(shared, Event::Request(ticket, request));
        }
        (Message::Event(epoch, event), Some(local)) if epoch == local.term.epoch => {
            local.apply_event(shared, event);
        }
        (Message::PredecessorEnded(epoch), Some(local)) if epoch == local.term.epoch => {
            local.owner.record_predecessor_end(now());
        }
        (Message::Confirmed(epoch, address, clock), Some(local)) if epoch == local.term.epoch => {
            local.owner.record_confirmation(address, clock, now());
        }
        (Message::Superseded(epoch), Some(current)) if epoch > current.term.epoch => {
            end_term(shared, local, "superseded");
        }
        (Message::Settings(settings), Some(local)) => local.owner.change_settings(settings),
        (Message::LargerBox(cores), Some(local)) => {
            local.release_to_larger(shared.settings.cores, cores)
        }
        (Message::Release, Some(local)) => {
            local.owner.release(now());
        }
        // Dropping the sender of a request's answer wakes the receiver, which gets no answer.
        _ => {}
    }
}

/// Has the owner handle an event, and tells it how long that took by a clock in microseconds. Returns
/// the actions and that time.
pub(super) fn decide(
    owner: &mut Owner,
    event: Event,
    micros: impl Fn() -> u64,
) -> (Vec<Action>, u64) {
    let begun = micros();
    let actions = owner.handle_event(event, now());
    let spent = micros() - begun;
    owner.record_decision_time(spent);
    (actions, spent)
}

/// Returns the local owner at the beginning of its term.
fn begin_term(owner: Owner, epoch: u64, load_ms: Millis) -> LocalOwner {
    LocalOwner {
        term: Term::begin(epoch, load_ms, clock::now()),
        owner,
        pending: HashMap::new(),
        next_ticket: 1,
        answer_wait: *ANSWER_WAIT.start(),
        commit_sent: 0,
    }
}

/// Ends the term of the local owner, and has the follower look for the next owner.
fn end_term(shared: &Shared, local: &mut Option<LocalOwner>, reason: &'static str) {
    if let Some(LocalOwner { owner, term, .. }) = local.take() {
        term.end(&owner, reason, clock::now());
    }
    shared.set_local_epoch(None);
    shared.check_owner_now();
}

/// Updates what other tasks and the metrics show of the local owner.
fn update_gauges(shared: &Shared, local: &mut Option<LocalOwner>) {
    let Some(current) = local else {
        return;
    };
    shared.set_confirmed(current.owner.last_confirmed());
    current.term.update_gauges(&current.owner, clock::now());
    current.term.flush(&current.owner, clock::now());
}

/// Ends the term of an owner that was replaced or released the cell.
fn end_if_over(shared: &Shared, local: &mut Option<LocalOwner>) {
    let Some(current) = local else {
        return;
    };
    if current.owner.is_deposed() {
        end_term(shared, local, "deposed");
    } else if current.owner.is_released() {
        end_term(shared, local, "released");
    } else if shared.local_epoch() != Some(current.term.epoch) {
        end_term(shared, local, "superseded");
    }
}

impl LocalOwner {
    /// Passes an event to the owner and performs the actions that it returns.
    fn apply_event(&mut self, shared: &Rc<Shared>, event: Event) {
        if let Event::CommitEnded(_, outcome) = &event {
            self.adapt_answer_wait(outcome);
        }
        let (kind, ends_call) = (event.kind(), event.ends_call());
        let (actions, spent) = decide(&mut self.owner, event, clock::micros);
        let begun = actions.iter().filter(|action| action.begins_call());
        self.term.record_calls(begun.count(), ends_call);
        self.term.record_event(kind, spent);
        for action in actions {
            self.perform(shared, action);
        }
    }

    /// Releases the cell for a box with more cores, unless this owner began only recently.
    fn release_to_larger(&mut self, own: u32, other: u32) {
        if self.owner.is_releasing()
            || !failover::should_release_to(own, other, self.term.began, clock::now())
        {
            return;
        }
        log::info!(target: "owner", "event=makes-way epoch={} cores={own} for_cores={other}", self.term.epoch);
        self.owner.release_to_larger(other, now());
    }

    /// Records how long the last commit took, and waits longer for the next one while the store
    /// is slow.
    fn adapt_answer_wait(&mut self, outcome: &CommitOutcome) {
        let took = clock::now() - self.commit_sent;
        let seconds = took as f64 / 1_000.0;
        crate::metrics::get().commit_seconds.observe(seconds);
        let wanted = match outcome {
            CommitOutcome::Unknown => self.answer_wait,
            _ => took * ANSWER_WAIT_FACTOR,
        };
        self.answer_wait = wanted.clamp(*ANSWER_WAIT.start(), *ANSWER_WAIT.end());
    }

    /// Performs an action; a call's result comes back as an event.
    fn perform(&mut self, shared: &Rc<Shared>, action: Action) {
        let epoch = self.term.epoch;
        match action {
            Action::Reply(ticket, answer) => {
                if let Some(pending) = self.pending.remove(&ticket) {
                    // Sending fails only if the caller is gone and needs no answer.
                    let _ = pending.reply.send(answer);
                }
            }
            Action::Poll(poll) => {
                spawn_call(shared, epoch, async move |shared| {
                    let reply = shared.workers.poll(&poll).await;
                    Event::Polled(poll, reply)
                });
            }
            Action::Start(start) => {
                spawn_call(shared, epoch, async move |shared| {
                    let reply = shared.workers.start(&start).await;
                    Event::Started(start.key, start.run, start.incarnation, reply)
                });
            }
            Action::Stop(stop) => {
                spawn_call(shared, epoch, async move |shared| {
                    let reply = shared.workers.stop(&stop).await;
                    Event::Stopped(stop.key, stop.run, stop.incarnation, reply)
                });
            }
            Action::Throttle(throttle) => {
                spawn_call(shared, epoch, async move |shared| {
                    let reply = shared.workers.throttle(&throttle).await;
                    Event::Throttled(
                        throttle.key,
                        throttle.run,
                        throttle.percent,
                        throttle.incarnation,
                        reply,
                    )
                });
            }
            Action::RequestAdvice(query) => {
                spawn_call(shared, epoch, async move |shared| {
                    let reply = shared.advisor.advise(&query).await;
                    Event::Advised(query.step, query.workers, reply)
                });
            }
            Action::Commit {
                number,
                version,
                writes,
            } => {
                self.commit_sent = clock::now();
                let answer_wait = self.answer_wait;
                spawn_call(shared, epoch, async move |shared| {
                    let outcome =
                        commit_as_owner(&shared, epoch, number, version, &writes, answer_wait)
                            .await;
                    Event::CommitEnded(number, outcome)
                });
            }
        }
    }
}

/// Makes a call in a task of its own, and sends the resulting event to the owner of `epoch`.
fn spawn_call<C: AsyncFnOnce(Rc<Shared>) -> Event + 'static>(
    shared: &Rc<Shared>,
    epoch: u64,
    call: C,
) {
    let shared = shared.clone();
    monoio::spawn(async move {
        let event = call(shared.clone()).await;
        shared.send_to_owner(Message::Event(epoch, event));
    });
}
