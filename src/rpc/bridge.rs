//! Runs calls of generated gRPC services, whose futures must be `Send`, on the thread that owns
//! the state, where futures need not be `Send`.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use tonic::{Response, Status};

/// Future that stays on the thread of the context.
type LocalFuture = Pin<Box<dyn Future<Output = ()>>>;
/// Closure that is sent to the thread of the context and returns the future to run there.
type Work<C> = Box<dyn FnOnce(Rc<C>) -> LocalFuture + Send>;

/// Handle that runs closures on the thread that owns a context.
pub struct Bridge<C> {
    queue: mpsc::UnboundedSender<Work<C>>,
}

impl<C> Clone for Bridge<C> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
        }
    }
}

impl<C: 'static> Bridge<C> {
    /// Spawns the task that runs the closures on the current thread.
    pub fn start(context: Rc<C>) -> Self {
        let (queue, mut receiver) = mpsc::unbounded::<Work<C>>();
        monoio::spawn(async move {
            while let Some(work) = receiver.next().await {
                monoio::spawn(work(context.clone()));
            }
        });
        Self { queue }
    }

    /// Runs a closure on the context's thread and returns its result as a gRPC response.
    pub async fn run<T, W, F>(&self, work: W) -> Result<Response<T>, Status>
    where
        T: Send + 'static,
        W: FnOnce(Rc<C>) -> F + Send + 'static,
        F: Future<Output = Result<T, Status>> + 'static,
    {
        let (reply, result) = oneshot::channel();
        let boxed: Work<C> = Box::new(move |context| {
            Box::pin(async move {
                let result = work(context).await;
                // The receiver is dropped if the client cancelled the call.
                let _ = reply.send(result);
            })
        });
        let sent = self.queue.unbounded_send(boxed);
        sent.map_err(|_| Status::unavailable("the box is stopping"))?;
        match result.await {
            Ok(result) => result.map(Response::new),
            Err(_) => Err(Status::unavailable("the box is stopping")),
        }
    }
}
