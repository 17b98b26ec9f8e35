//! From the generated services, whose futures must be `Send`, to the tasks of
//! this thread.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use tonic::{Response, Status};

type Local = Pin<Box<dyn Future<Output = ()>>>;
type Job<C> = Box<dyn FnOnce(Rc<C>) -> Local + Send>;

/// A way to run work on the thread that owns the context.
pub struct Bridge<C> {
    jobs: mpsc::UnboundedSender<Job<C>>,
}

impl<C> Clone for Bridge<C> {
    fn clone(&self) -> Self {
        Self {
            jobs: self.jobs.clone(),
        }
    }
}

impl<C: 'static> Bridge<C> {
    /// Starts the task that runs the work.
    pub fn start(context: Rc<C>) -> Self {
        let (jobs, mut receiver) = mpsc::unbounded::<Job<C>>();
        monoio::spawn(async move {
            while let Some(job) = receiver.next().await {
                monoio::spawn(job(context.clone()));
            }
        });
        Self { jobs }
    }

    /// Runs work and returns its reply.
    pub async fn run<T, W, F>(&self, work: W) -> Result<Response<T>, Status>
    where
        T: Send + 'static,
        W: FnOnce(Rc<C>) -> F + Send + 'static,
        F: Future<Output = Result<T, Status>> + 'static,
    {
        let (reply, result) = oneshot::channel();
        let job: Job<C> = Box::new(move |context| {
            Box::pin(async move {
                let result = work(context).await;
                // A caller that has gone away needs no reply.
                let _ = reply.send(result);
            })
        });
        let sent = self.jobs.unbounded_send(job);
        sent.map_err(|_| Status::unavailable("stopping"))?;
        match result.await {
            Ok(result) => result.map(Response::new),
            Err(_) => Err(Status::unavailable("stopping")),
        }
    }
}
