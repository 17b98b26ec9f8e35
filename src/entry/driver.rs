//! The task that owns the decisions and carries out what they ask for.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};

use super::dispatch::{EndpointSend, forward, send_to_endpoint};
use super::platform_client::PlatformClient;
use super::{peers, workers};
use crate::engine::{Action, Engine, Event, Greeting, Now, Query, Verdict, View};
use crate::options::Settings;
use crate::request::Meta;
use crate::rpc::client::Channel;
use crate::trace;
use crate::utils::Name;
use crate::utils::clock::{self, Millis};
use crate::utils::drain::DrainTrigger;
use crate::web::client::Pool;
use crate::web::{self, Reply};

/// What a request came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What the caller is told.
    pub verdict: Verdict,
    /// The endpoint's answer, with [`Verdict::Answer`].
    pub reply: Option<Reply>,
    /// Sends that are left to it.
    pub retries: u32,
}

/// A request with what the tasks need of it.
#[derive(Clone, Debug)]
pub struct TracedRequest {
    /// The whole request.
    pub request: web::Request,
    /// This box' hop of its trace.
    pub trace: trace::Context,
}

/// A message to the task of the decisions.
pub enum Message {
    /// An event without further parts.
    Event(Event),
    /// A caller's request.
    Request {
        /// What it says of itself.
        meta: Meta,
        /// The request.
        request: TracedRequest,
        /// Where its outcome goes.
        reply_to: oneshot::Sender<Outcome>,
    },
    /// A request handed over by another box.
    Forwarded {
        /// What it says of itself.
        meta: Meta,
        /// Cell that is to run it.
        cell: Option<Name>,
        /// Dedup shard of its id.
        dedup_shard: Option<Name>,
        /// Epoch of the dedup shard, or 0.
        epoch: u64,
        /// The request.
        request: TracedRequest,
        /// Where its outcome goes.
        reply_to: oneshot::Sender<Outcome>,
    },
    /// The answer to a request, before the event that tells of it.
    Answered {
        /// The request.
        ticket: u64,
        /// The endpoint's answer.
        reply: Reply,
        /// The event that tells of it.
        event: Event,
    },
    /// Another box' greeting.
    Greeting {
        /// What it says.
        greeting: Greeting,
        /// Where the answer goes.
        reply_to: oneshot::Sender<(Greeting, bool)>,
    },
    /// The servers have ended.
    Drained,
    /// A question about the state.
    Query {
        /// What is asked.
        query: Query,
        /// Where the view goes.
        reply_to: oneshot::Sender<View>,
    },
}

/// What all tasks of a box share: no state of the decisions but the send_until.
pub struct Context {
    /// Settings of the box.
    pub settings: Settings,
    /// Connections to endpoints.
    pub pool: Pool,
    /// The table.
    pub platform: PlatformClient,
    /// Connections to boxes and workers.
    channels: std::cell::RefCell<HashMap<SocketAddr, Channel>>,
    /// Until when sends to workers may leave.
    send_until: Cell<Millis>,
    sender: mpsc::UnboundedSender<Message>,
}

impl Context {
    /// Returns the context of a box.
    pub fn new(settings: Settings, sender: mpsc::UnboundedSender<Message>) -> Self {
        let limit = settings.limits.body + settings.limits.head;
        Self {
            pool: Pool::new(limit),
            platform: PlatformClient::new(settings.platform, settings.call_timeout),
            channels: Default::default(),
            send_until: Cell::new(0),
            settings,
            sender,
        }
    }

    /// Sends a message to the decisions; false when they have ended.
    pub fn send(&self, message: Message) -> bool {
        self.sender.unbounded_send(message).is_ok()
    }

    /// Returns true while sends to workers may leave.
    pub fn may_send(&self) -> bool {
        clock::now() < self.send_until.get()
    }

    /// Returns the milliseconds until sends to workers must end.
    pub fn send_time_left(&self) -> Millis {
        self.send_until.get().saturating_sub(clock::now())
    }

    /// Returns the connection to a box or a worker.
    pub fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.borrow_mut();
        let channel = channels.entry(address);
        channel.or_insert_with(|| Channel::new(address)).clone()
    }

    /// Asks the decisions for a view of their state.
    pub async fn query(&self, query: Query) -> Option<View> {
        let (reply_to, view) = oneshot::channel();
        self.send(Message::Query { query, reply_to });
        view.await.ok()
    }
}

/// A request that waits for its outcome.
struct PendingRequest {
    request: Rc<TracedRequest>,
    endpoint_reply: Option<Reply>,
    reply_to: oneshot::Sender<Outcome>,
}

/// The task that owns the decisions.
pub struct EngineDriver {
    engine: Engine,
    context: Rc<Context>,
    pending: HashMap<u64, PendingRequest>,
    greetings: HashMap<u64, oneshot::Sender<(Greeting, bool)>>,
    queries: HashMap<u64, oneshot::Sender<View>>,
    last_ticket: u64,
    /// Ends the tasks that hold connections; none once it has begun.
    drain_trigger: Option<DrainTrigger>,
}

impl EngineDriver {
    /// Returns the task around an engine, with what ends the servers.
    pub fn new(engine: Engine, context: Rc<Context>, drain_trigger: DrainTrigger) -> Self {
        Self {
            engine,
            context,
            pending: HashMap::new(),
            greetings: HashMap::new(),
            queries: HashMap::new(),
            last_ticket: 0,
            drain_trigger: Some(drain_trigger),
        }
    }

    /// Takes in messages until a planned stop is complete.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = receiver.next().await {
            let Some(event) = self.to_event(message) else {
                log::info!(target: "entry", "stopped");
                return;
            };
            let now = Now::read();
            let actions = self.engine.step(now, event);
            self.context.send_until.set(self.engine.send_until());
            for action in actions {
                self.execute(action);
            }
        }
    }

    fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    fn add_pending(&mut self, request: TracedRequest, reply_to: oneshot::Sender<Outcome>) -> u64 {
        let ticket = self.next_ticket();
        let pending = PendingRequest {
            request: Rc::new(request),
            endpoint_reply: None,
            reply_to,
        };
        self.pending.insert(ticket, pending);
        ticket
    }

    /// Returns the event that a message tells of; none when nothing is left to do.
    fn to_event(&mut self, message: Message) -> Option<Event> {
        let event = match message {
            Message::Drained => return None,
            Message::Event(event) => event,
            Message::Request {
                meta,
                request,
                reply_to,
            } => {
                let ticket = self.add_pending(request, reply_to);
                Event::Request { ticket, meta }
            }
            Message::Forwarded {
                meta,
                cell,
                dedup_shard,
                epoch,
                request,
                reply_to,
            } => Event::Forwarded {
                ticket: self.add_pending(request, reply_to),
                meta,
                cell,
                dedup_shard,
                epoch,
            },
            Message::Answered {
                ticket,
                reply,
                event,
            } => {
                if let Some(pending) = self.pending.get_mut(&ticket) {
                    pending.endpoint_reply = Some(reply);
                }
                event
            }
            Message::Greeting { greeting, reply_to } => {
                let ticket = self.next_ticket();
                self.greetings.insert(ticket, reply_to);
                Event::GreetingReceived { ticket, greeting }
            }
            Message::Query { query, reply_to } => {
                let ticket = self.next_ticket();
                self.queries.insert(ticket, reply_to);
                Event::Query { ticket, query }
            }
        };
        Some(event)
    }

    fn execute(&mut self, action: Action) {
        let context = self.context.clone();
        match action {
            Action::Send {
                ticket,
                cell,
                epoch,
                http,
                time_left,
            } => {
                if let Some(pending) = self.pending.get(&ticket) {
                    let request = pending.request.clone();
                    let send = EndpointSend {
                        ticket,
                        cell,
                        epoch,
                        http,
                        time_left,
                    };
                    monoio::spawn(send_to_endpoint(context, request, send));
                }
            }
            Action::Forward {
                ticket,
                to,
                meta,
                cell,
                dedup_shard,
                epoch,
            } => {
                if let Some(pending) = self.pending.get(&ticket) {
                    let request = pending.request.clone();
                    crate::metrics::get().forwards.inc();
                    let target = peers::ForwardTarget {
                        cell,
                        dedup_shard,
                        epoch,
                    };
                    monoio::spawn(forward(context, request, ticket, to, meta, target));
                }
            }
            Action::Finish {
                ticket,
                verdict,
                retries,
            } => self.finish_request(ticket, verdict, retries),
            Action::CallTable { op, call } => {
                monoio::spawn(async move {
                    let sent = clock::now();
                    let outcome = context.platform.call(call).await;
                    context.send(Message::Event(Event::TableCallEnded { op, sent, outcome }));
                });
            }
            Action::ListWorkers => {
                monoio::spawn(async move {
                    let workers = context.platform.list_workers().await;
                    context.send(Message::Event(Event::WorkersListed(workers)));
                });
            }
            Action::CallWorker {
                cell,
                epoch,
                action,
            } => {
                monoio::spawn(workers::call(context, cell, epoch, action));
            }
            Action::Greet { to, rpc, greeting } => {
                monoio::spawn(async move {
                    let sent = greeting.sent;
                    let reply = peers::greet(&context, rpc, greeting).await;
                    context.send(Message::Event(Event::GreetingEnded { to, sent, reply }));
                });
            }
            Action::AnswerGreeting {
                ticket,
                greeting,
                promised,
            } => {
                if let Some(reply_to) = self.greetings.remove(&ticket) {
                    let _ = reply_to.send((greeting, promised));
                }
            }
            Action::FetchSnapshot(rpc) => {
                monoio::spawn(async move {
                    let config = peers::snapshot(&context, rpc).await;
                    context.send(Message::Event(Event::SnapshotEnded(config)));
                });
            }
            Action::Hint {
                rpc,
                cells,
                cancelled,
            } => {
                monoio::spawn(async move { peers::hint(&context, rpc, cells, cancelled).await });
            }
            Action::AnswerQuery { ticket, view } => {
                if let Some(reply_to) = self.queries.remove(&ticket) {
                    let _ = reply_to.send(view);
                }
            }
            Action::Disconnect(endpoints) => {
                for endpoint in endpoints {
                    context.pool.close_idle(endpoint);
                }
            }
            Action::Exit { within } => self.begin_drain(within),
        }
    }

    /// Lets the servers answer what has come, then ends this task.
    fn begin_drain(&mut self, within: Millis) {
        let Some(drain_trigger) = self.drain_trigger.take() else {
            return;
        };
        let context = self.context.clone();
        monoio::spawn(async move {
            if !drain_trigger.finish(within).await {
                log::warn!(target: "entry", "connections were still open at the end of the stop");
            }
            context.send(Message::Drained);
        });
    }

    fn finish_request(&mut self, ticket: u64, verdict: Verdict, retries: u32) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        let outcome = Outcome {
            verdict,
            reply: pending.endpoint_reply,
            retries,
        };
        // A caller that has gone away needs no answer.
        let _ = pending.reply_to.send(outcome);
    }
}
