//! From the generated services, whose futures must be `Send`, to the tasks of
//! this thread.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use tonic::{Response, Status};

type LocalFuture = Pin<Box<dyn Future<Output = ()>>>;
type Work<C> = Box<dyn FnOnce(Rc<C>) -> LocalFuture + Send>;

/// A way to run work on the thread that owns the context.
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
    /// Starts the task that runs the work.
    pub fn start(context: Rc<C>) -> Self {
        let (queue, mut receiver) = mpsc::unbounded::<Work<C>>();
        monoio::spawn(async move {
            while let Some(work) = receiver.next().await {
                monoio::spawn(work(context.clone()));
            }
        });
        Self { queue }
    }

    /// Runs work and returns its reply.
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
                // A caller that has gone away needs no reply.
                let _ = reply.send(result);
            })
        });
        let sent = self.queue.unbounded_send(boxed);
        sent.map_err(|_| Status::unavailable("stopping"))?;
        match result.await {
            Ok(result) => result.map(Response::new),
            Err(_) => Err(Status::unavailable("stopping")),
        }
    }
}
