//! The task that owns the decisions and carries out what they ask for.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};

use super::dispatch::{Send, forward, send_to_worker};
use super::{peers, platform_client, workers};
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
pub struct Load {
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
        load: Load,
        /// Where its outcome goes.
        reply: oneshot::Sender<Outcome>,
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
        load: Load,
        /// Where its outcome goes.
        reply: oneshot::Sender<Outcome>,
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
        reply: oneshot::Sender<(Greeting, bool)>,
    },
    /// The servers have ended.
    Drained,
    /// A question about the state.
    Query {
        /// What is asked.
        query: Query,
        /// Where the view goes.
        reply: oneshot::Sender<View>,
    },
}

/// What all tasks of a box share: no state of the decisions but the fence.
pub struct Context {
    /// Settings of the box.
    pub settings: Settings,
    /// Connections to endpoints.
    pub pool: Pool,
    /// The table.
    pub store: platform_client::Store,
    /// Connections to boxes and workers.
    channels: std::cell::RefCell<HashMap<SocketAddr, Channel>>,
    /// Until when sends to workers may leave.
    fence: Cell<Millis>,
    sender: mpsc::UnboundedSender<Message>,
}

impl Context {
    /// Returns the context of a box.
    pub fn new(settings: Settings, sender: mpsc::UnboundedSender<Message>) -> Self {
        let limit = settings.limits.body + settings.limits.head;
        Self {
            pool: Pool::new(limit),
            store: platform_client::Store::new(settings.platform, settings.call_timeout),
            channels: Default::default(),
            fence: Cell::new(0),
            settings,
            sender,
        }
    }

    /// Sends a message to the decisions; false when they have ended.
    pub fn send(&self, message: Message) -> bool {
        self.sender.unbounded_send(message).is_ok()
    }

    /// Returns true while sends to workers may leave.
    pub fn acts(&self) -> bool {
        clock::now() < self.fence.get()
    }

    /// Returns the milliseconds until sends to workers must end.
    pub fn left(&self) -> Millis {
        self.fence.get().saturating_sub(clock::now())
    }

    /// Returns the connection to a box or a worker.
    pub fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.borrow_mut();
        let channel = channels.entry(address);
        channel.or_insert_with(|| Channel::new(address)).clone()
    }

    /// Asks the decisions for a view of their state.
    pub async fn query(&self, query: Query) -> Option<View> {
        let (reply, view) = oneshot::channel();
        self.send(Message::Query { query, reply });
        view.await.ok()
    }
}

/// A request that waits for its outcome.
struct Parked {
    load: Rc<Load>,
    answer: Option<Reply>,
    reply: oneshot::Sender<Outcome>,
}

/// The task that owns the decisions.
pub struct Shell {
    engine: Engine,
    context: Rc<Context>,
    parked: HashMap<u64, Parked>,
    greetings: HashMap<u64, oneshot::Sender<(Greeting, bool)>>,
    queries: HashMap<u64, oneshot::Sender<View>>,
    next: u64,
    /// Ends the tasks that hold connections; none once it has begun.
    trigger: Option<DrainTrigger>,
}

impl Shell {
    /// Returns the task around an engine, with what ends the servers.
    pub fn new(engine: Engine, context: Rc<Context>, trigger: DrainTrigger) -> Self {
        Self {
            engine,
            context,
            parked: HashMap::new(),
            greetings: HashMap::new(),
            queries: HashMap::new(),
            next: 0,
            trigger: Some(trigger),
        }
    }

    /// Takes in messages until a planned stop is complete.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = receiver.next().await {
            let Some(event) = self.accept(message) else {
                log::info!(target: "entry", "stopped");
                return;
            };
            let now = Now::read();
            let actions = self.engine.step(now, event);
            self.context.fence.set(self.engine.send_until());
            for action in actions {
                self.carry_out(action);
            }
        }
    }

    fn ticket(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn park(&mut self, load: Load, reply: oneshot::Sender<Outcome>) -> u64 {
        let ticket = self.ticket();
        let parked = Parked {
            load: Rc::new(load),
            answer: None,
            reply,
        };
        self.parked.insert(ticket, parked);
        ticket
    }

    /// Returns the event that a message tells of; none when nothing is left to do.
    fn accept(&mut self, message: Message) -> Option<Event> {
        let event = match message {
            Message::Drained => return None,
            Message::Event(event) => event,
            Message::Request { meta, load, reply } => {
                let ticket = self.park(load, reply);
                Event::Request { ticket, meta }
            }
            Message::Forwarded {
                meta,
                cell,
                dedup_shard,
                epoch,
                load,
                reply,
            } => Event::Forwarded {
                ticket: self.park(load, reply),
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
                if let Some(parked) = self.parked.get_mut(&ticket) {
                    parked.answer = Some(reply);
                }
                event
            }
            Message::Greeting { greeting, reply } => {
                let ticket = self.ticket();
                self.greetings.insert(ticket, reply);
                Event::GreetingReceived { ticket, greeting }
            }
            Message::Query { query, reply } => {
                let ticket = self.ticket();
                self.queries.insert(ticket, reply);
                Event::Query { ticket, query }
            }
        };
        Some(event)
    }

    fn carry_out(&mut self, action: Action) {
        let context = self.context.clone();
        match action {
            Action::Send {
                ticket,
                cell,
                epoch,
                http,
                time_left,
            } => {
                if let Some(parked) = self.parked.get(&ticket) {
                    let load = parked.load.clone();
                    let send = Send {
                        ticket,
                        cell,
                        epoch,
                        http,
                        time_left,
                    };
                    monoio::spawn(send_to_worker(context, load, send));
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
                if let Some(parked) = self.parked.get(&ticket) {
                    let load = parked.load.clone();
                    crate::metrics::get().forwards.inc();
                    let target = peers::Target {
                        cell,
                        dedup_shard,
                        epoch,
                    };
                    monoio::spawn(forward(context, load, ticket, to, meta, target));
                }
            }
            Action::Finish {
                ticket,
                verdict,
                retries,
            } => self.finish(ticket, verdict, retries),
            Action::CallTable { op, call } => {
                monoio::spawn(async move {
                    let sent = clock::now();
                    let outcome = context.store.call(call).await;
                    context.send(Message::Event(Event::TableCallEnded { op, sent, outcome }));
                });
            }
            Action::ListWorkers => {
                monoio::spawn(async move {
                    let places = context.store.places().await;
                    context.send(Message::Event(Event::WorkersListed(places)));
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
                if let Some(reply) = self.greetings.remove(&ticket) {
                    let _ = reply.send((greeting, promised));
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
                if let Some(reply) = self.queries.remove(&ticket) {
                    let _ = reply.send(view);
                }
            }
            Action::Disconnect(endpoints) => {
                for endpoint in endpoints {
                    context.pool.close_idle(endpoint);
                }
            }
            Action::Exit { within } => self.drain(within),
        }
    }

    /// Lets the servers answer what has come, then ends this task.
    fn drain(&mut self, within: Millis) {
        let Some(trigger) = self.trigger.take() else {
            return;
        };
        let context = self.context.clone();
        monoio::spawn(async move {
            if !trigger.finish(within).await {
                log::warn!(target: "entry", "connections were still open at the end of the stop");
            }
            context.send(Message::Drained);
        });
    }

    fn finish(&mut self, ticket: u64, verdict: Verdict, retries: u32) {
        let Some(parked) = self.parked.remove(&ticket) else {
            return;
        };
        let outcome = Outcome {
            verdict,
            reply: parked.answer,
            retries,
        };
        // A caller that has gone away needs no answer.
        let _ = parked.reply.send(outcome);
    }
}
