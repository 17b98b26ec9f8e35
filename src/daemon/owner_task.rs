//! The task that holds the owner while this box is it.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use monoio::time::timeout;

use super::commits::commit_as_owner;
use super::feeds;
use super::history;
use super::message::Message;
use super::shared::{Shared, now};
use super::term::Term;
use crate::sched::failover;
use crate::sched::message::{Action, Answer, Event, Ticket, Written};
use crate::sched::owner::Owner;
use crate::utils::clock::{self, Millis};

/// Shortest and longest wait for a commit's answer, in milliseconds, before
/// its fate is asked for: many times the usual, and that of a slow store.
const ANSWER_WAIT: std::ops::RangeInclusive<Millis> = 120..=900;
/// Answers of a commit take at most this many times the last one.
const ANSWER_SPREAD: Millis = 3;

/// An owner in this process.
struct LocalOwner {
    owner: Owner,
    term: Term,
    /// Callers that wait for an answer.
    pending: HashMap<Ticket, oneshot::Sender<Answer>>,
    next_ticket: Ticket,
    answer_wait: Millis,
    commit_sent: Millis,
}

/// Runs until the process ends.
pub async fn run(shared: Rc<Shared>, mut receiver: mpsc::UnboundedReceiver<Message>) {
    let mut lead: Option<LocalOwner> = None;
    let mut woke = clock::now();
    loop {
        let wait = lead.as_ref().map_or(1_000, |l| l.owner.wait(now()));
        let message = timeout(Duration::from_millis(wait), receiver.next()).await;
        let due = woke + wait;
        woke = clock::now();
        if let Some(lead) = &mut lead {
            // What the last round took counts as well: a starved owner is starved there.
            lead.term.record_lateness(woke.saturating_sub(due), woke);
        }
        let mut next = match message {
            Ok(Some(message)) => Some(message),
            Ok(None) => return,
            Err(_) => Some(tick_message(&lead)),
        };
        while let Some(message) = next {
            handle_message(&shared, &mut lead, message);
            next = receiver.try_recv().ok();
        }
        end_if_over(&shared, &mut lead);
    }
}

fn tick_message(lead: &Option<LocalOwner>) -> Message {
    Message::Event(lead.as_ref().map_or(0, |l| l.term.epoch), Event::Tick)
}

fn handle_message(shared: &Rc<Shared>, lead: &mut Option<LocalOwner>, message: Message) {
    match (message, lead.as_mut()) {
        // One whose load was ended meanwhile, by word of a later owner, never acts.
        (Message::Begin(owner, epoch, load), _) if shared.is_loading(epoch) => {
            *lead = Some(begin_term(*owner, epoch, load));
            shared.set_local_epoch(Some(epoch));
            shared.set_loading(None);
            // Nothing is started before: another owner may have known of a cordon.
            if let Some(halls) = shared.cordoned() {
                shared.send_to_owner(Message::Event(epoch, Event::Cordoned(halls)));
            }
            monoio::spawn(feeds::follow_directory(shared.clone(), epoch));
            monoio::spawn(history::load(shared.clone(), epoch));
            if shared.is_stopping() {
                shared.send_to_owner(Message::Resign);
            }
        }
        (Message::Request(ask, reply), Some(lead)) => {
            let ticket = lead.next_ticket;
            lead.next_ticket += 1;
            lead.pending.insert(ticket, reply);
            lead.apply_event(shared, Event::Request(ticket, ask));
        }
        (Message::Event(epoch, event), Some(lead)) if epoch == lead.term.epoch => {
            lead.apply_event(shared, event);
        }
        (Message::PredecessorEnded(epoch), Some(lead)) if epoch == lead.term.epoch => {
            lead.owner.predecessor_ended(now());
        }
        (Message::Superseded(epoch), Some(held)) if epoch > held.term.epoch => {
            end_term(shared, lead, "superseded");
        }
        (Message::Bounds(bounds), Some(lead)) => lead.owner.rebound(bounds),
        (Message::StrongerBox(cores), Some(lead)) => {
            lead.yield_to_stronger(shared.settings.cores, cores)
        }
        (Message::Resign, Some(lead)) => {
            lead.owner.resign(now());
        }
        // Dropping a caller's side tells it that nobody will answer.
        _ => {}
    }
}

fn begin_term(owner: Owner, epoch: u64, load: Millis) -> LocalOwner {
    LocalOwner {
        term: Term::begin(epoch, load, clock::now()),
        owner,
        pending: HashMap::new(),
        next_ticket: 1,
        answer_wait: *ANSWER_WAIT.start(),
        commit_sent: 0,
    }
}

fn end_term(shared: &Shared, lead: &mut Option<LocalOwner>, reason: &'static str) {
    if let Some(LocalOwner { owner, term, .. }) = lead.take() {
        term.end(&owner, reason, clock::now());
    }
    shared.set_local_epoch(None);
    shared.check_owner_now();
}

/// Ends an owner that was replaced or has given the cell up.
fn end_if_over(shared: &Shared, lead: &mut Option<LocalOwner>) {
    let Some(held) = lead else {
        return;
    };
    shared.set_confirmed(held.owner.confirmed());
    held.term.update_gauges(&held.owner, clock::now());
    if held.owner.deposed() {
        end_term(shared, lead, "deposed");
    } else if held.owner.released() {
        end_term(shared, lead, "released");
    } else if shared.local_epoch() != Some(held.term.epoch) {
        end_term(shared, lead, "superseded");
    }
}

impl LocalOwner {
    fn apply_event(&mut self, shared: &Rc<Shared>, event: Event) {
        if let Event::Written(_, written) = &event {
            self.adapt_answer_wait(written);
        }
        let (kind, begun) = (event.kind(), clock::micros());
        let actions = self.owner.step(event, now());
        let ended = clock::micros();
        self.term.record_spent(kind, ended - begun, ended / 1_000);
        for action in actions {
            self.perform(shared, action);
        }
    }

    /// Makes way for a box with more cores, once this owner has settled.
    fn yield_to_stronger(&mut self, own: u32, other: u32) {
        if self.owner.gives_up()
            || !failover::should_make_way(own, other, self.term.began, clock::now())
        {
            return;
        }
        log::info!(target: "owner", "event=makes-way epoch={} cores={own} for_cores={other}", self.term.epoch);
        self.owner.make_way(other, now());
    }

    /// Waits longer for the next commit while the store is slow.
    fn adapt_answer_wait(&mut self, written: &Written) {
        let took = clock::now() - self.commit_sent;
        let seconds = took as f64 / 1_000.0;
        crate::metrics::get().commit_seconds.observe(seconds);
        let wished = match written {
            Written::Unknown => self.answer_wait,
            _ => took * ANSWER_SPREAD,
        };
        self.answer_wait = wished.clamp(*ANSWER_WAIT.start(), *ANSWER_WAIT.end());
    }

    fn perform(&mut self, shared: &Rc<Shared>, action: Action) {
        let epoch = self.term.epoch;
        match action {
            Action::Reply(ticket, answer) => {
                if let Some(reply) = self.pending.remove(&ticket) {
                    // A caller that has gone away needs no answer.
                    let _ = reply.send(answer);
                }
            }
            Action::Hold(hold) => {
                spawn_call(shared, epoch, async move |shared| {
                    let reply = shared.workers.poll(&hold).await;
                    Event::Held(hold, reply)
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
            Action::Advise(question) => {
                spawn_call(shared, epoch, async move |shared| {
                    let reply = shared.advisor.advise(&question).await;
                    Event::Advised(question.step, question.workers, reply)
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
                    let written =
                        commit_as_owner(&shared, number, version, &writes, answer_wait).await;
                    Event::Written(number, written)
                });
            }
        }
    }
}

/// Makes a call in a task of its own, and tells the owner of `epoch` how it went.
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
