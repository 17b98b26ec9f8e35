//! Task that owns the engine: passes it events and performs the actions that it returns.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};

use super::dispatch::{EndpointSend, forward, send_to_endpoint};
use super::platform_client::PlatformClient;
use super::startup::Progress;
use super::{peers, workers};
use crate::engine::{Action, Engine, Event, Greeting, Now, Query, Verdict, View};
use crate::options::EntrySettings;
use crate::request::Meta;
use crate::rpc::client::Channel;
use crate::trace;
use crate::utils::Name;
use crate::utils::clock::{self, Millis};
use crate::utils::drain::DrainTrigger;
use crate::web::client::Pool;
use crate::web::{self, Reply};

/// Outcome of a request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// Result for the caller.
    pub verdict: Verdict,
    /// Reply of the endpoint if the verdict is [`Verdict::Answer`].
    pub reply: Option<Reply>,
    /// Number of retries that the request has left.
    pub retries: u32,
}

/// HTTP request with its trace context.
#[derive(Clone, Debug)]
pub struct TracedRequest {
    /// The HTTP request.
    pub request: web::Request,
    /// Trace context of this box's hop.
    pub trace: trace::Context,
}

/// Message to the [`EngineDriver`].
pub enum Message {
    /// An event that is passed to the engine unchanged.
    Event(Event),
    /// A caller's request arrived.
    Request {
        /// Checked headers of the request.
        meta: Meta,
        /// The request.
        request: TracedRequest,
        /// Receives the outcome.
        reply_to: oneshot::Sender<RequestOutcome>,
    },
    /// A request arrived that another box has forwarded.
    Forwarded {
        /// Checked headers of the request.
        meta: Meta,
        /// Cell in which the request runs; `None` if this box is to choose.
        cell: Option<Name>,
        /// Dedup shard of the request's id; `None` for a repeatable request.
        dedup_shard: Option<Name>,
        /// Epoch of the dedup shard that admitted the request, or 0.
        epoch: u64,
        /// The request.
        request: TracedRequest,
        /// Receives the outcome.
        reply_to: oneshot::Sender<RequestOutcome>,
    },
    /// A send or forward ended with a reply, which is stored before the engine receives the event.
    Answered {
        /// Number of the request on this box.
        ticket: u64,
        /// Reply of the endpoint.
        reply: Reply,
        /// Event that reports the end of the send or forward.
        event: Event,
    },
    /// A greeting of another box arrived.
    Greeting {
        /// The greeting.
        greeting: Greeting,
        /// Receives the greeting of this box and whether it gives the requested promise.
        reply_to: oneshot::Sender<(Greeting, bool)>,
    },
    /// The drain of the servers has ended.
    Drained,
    /// A view of the engine's state is requested.
    Query {
        /// Requested view.
        query: Query,
        /// Receives the view.
        reply_to: oneshot::Sender<View>,
    },
}

/// Settings, connections and the engine's time limit for sends, shared by all tasks of a box.
pub struct Context {
    /// Settings of the box.
    pub settings: EntrySettings,
    /// HTTP connections to endpoints.
    pub pool: Pool,
    /// Client of the platform's table and directory.
    pub platform: PlatformClient,
    /// Progress of the start of the box.
    pub progress: Arc<Progress>,
    /// gRPC channels to boxes and workers by address.
    channels: std::cell::RefCell<HashMap<SocketAddr, Channel>>,
    /// Time until which requests and calls may be sent to workers, in ms on the boot-time clock.
    send_until: Cell<Millis>,
    sender: mpsc::UnboundedSender<Message>,
}

impl Context {
    /// Returns the context of a box whose messages go to `sender`.
    pub fn new(settings: EntrySettings, sender: mpsc::UnboundedSender<Message>) -> Self {
        let max_reply = settings.limits.body + settings.limits.head;
        Self {
            pool: Pool::new(max_reply),
            platform: PlatformClient::new(settings.platform, settings.call_timeout),
            progress: Arc::default(),
            channels: Default::default(),
            send_until: Cell::new(0),
            settings,
            sender,
        }
    }

    /// Sends a message to the [`EngineDriver`]; returns false if it has ended.
    pub fn send(&self, message: Message) -> bool {
        self.sender.unbounded_send(message).is_ok()
    }

    /// Returns true while requests and calls may be sent to workers.
    pub fn may_send(&self) -> bool {
        clock::now() < self.send_until.get()
    }

    /// Returns the milliseconds for which requests and calls may still be sent to workers.
    pub fn send_time_left(&self) -> Millis {
        self.send_until.get().saturating_sub(clock::now())
    }

    /// Returns the gRPC channel to a box or worker; creates it on first use.
    pub fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.borrow_mut();
        let channel = channels.entry(address);
        channel.or_insert_with(|| Channel::new(address)).clone()
    }

    /// Returns a view of the engine's state, or `None` if the box has stopped.
    pub async fn query(&self, query: Query) -> Option<View> {
        let (reply_to, view) = oneshot::channel();
        self.send(Message::Query { query, reply_to });
        view.await.ok()
    }
}

/// A request that is not answered yet, with the receiver of its outcome.
struct PendingRequest {
    request: Rc<TracedRequest>,
    endpoint_reply: Option<Reply>,
    reply_to: oneshot::Sender<RequestOutcome>,
}

/// Task that owns the engine.
pub struct EngineDriver {
    engine: Engine,
    context: Rc<Context>,
    /// Requests by ticket, which is the number of a request, greeting or query on this box.
    pending: HashMap<u64, PendingRequest>,
    greetings: HashMap<u64, oneshot::Sender<(Greeting, bool)>>,
    queries: HashMap<u64, oneshot::Sender<View>>,
    last_ticket: u64,
    /// Begins the drain of the servers; `None` once it has begun.
    drain_trigger: Option<DrainTrigger>,
}

impl EngineDriver {
    /// Returns the task for an engine; `drain_trigger` ends the servers on a planned stop.
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

    /// Processes messages until a planned stop is complete.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = receiver.next().await {
            let Some(event) = self.accept_message(message) else {
                log::info!(target: "entry", "stopped");
                return;
            };
            let now = Now::read();
            let actions = self.engine.step(now, event);
            self.context.progress.steps.fetch_add(1, Ordering::Relaxed);
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

    /// Stores a request until it is answered, and returns its ticket.
    fn add_pending(
        &mut self,
        request: TracedRequest,
        reply_to: oneshot::Sender<RequestOutcome>,
    ) -> u64 {
        let ticket = self.next_ticket();
        let pending = PendingRequest {
            request: Rc::new(request),
            endpoint_reply: None,
            reply_to,
        };
        self.pending.insert(ticket, pending);
        ticket
    }

    /// Returns the event of a message and stores what its answer needs; `None` ends the task.
    fn accept_message(&mut self, message: Message) -> Option<Event> {
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

    /// Performs an action. An action that waits for I/O runs in a task of its own.
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
                    crate::metrics::get().forwarded_requests.inc();
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

    /// Drains the servers for at most `within` milliseconds, then ends this task.
    fn begin_drain(&mut self, within: Millis) {
        let Some(drain_trigger) = self.drain_trigger.take() else {
            return;
        };
        let context = self.context.clone();
        monoio::spawn(async move {
            if !drain_trigger.finish(within).await {
                log::warn!(target: "entry", "connections were still open when the drain timed out");
            }
            context.send(Message::Drained);
        });
    }

    /// Answers a request with its outcome.
    fn finish_request(&mut self, ticket: u64, verdict: Verdict, retries: u32) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        let outcome = RequestOutcome {
            verdict,
            reply: pending.endpoint_reply,
            retries,
        };
        // The receiver is dropped if the caller has disconnected.
        let _ = pending.reply_to.send(outcome);
    }
}
