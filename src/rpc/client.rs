//! Reconnecting HTTP/2 channel for the generated gRPC clients.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::client::conn::http2::{SendRequest, handshake};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_compat::hyper::{MonoioExecutor, MonoioIo};
use tonic::body::Body;
use tower_service::Service;

use crate::utils::clock::Millis;
use crate::utils::sockets;

/// Reason why a call returned no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The server has not run the call.
    NotSent(String),
    /// The server may have run the call.
    Lost(String),
    /// The server replied with an error status.
    Refused(tonic::Code, String),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Lost(reason) => write!(f, "reply lost: {reason}"),
            Self::Refused(code, reason) => write!(f, "{code:?}: {reason}"),
        }
    }
}

impl std::error::Error for CallError {}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Error of a call that was never sent.
#[derive(Debug)]
struct NotSent(String);

impl std::fmt::Display for NotSent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for NotSent {}

/// Returns true if an error proves that the server has not run the call: the call was never sent,
/// or the server's GOAWAY excludes its stream (RFC 9113, 6.8).
fn proves_not_run(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(e) = next {
        let excluded = |e: &h2::Error| e.is_go_away() && e.is_remote();
        let proof = e.is::<NotSent>()
            || e.downcast_ref::<hyper::Error>()
                .is_some_and(hyper::Error::is_canceled)
            || e.downcast_ref::<h2::Error>().is_some_and(excluded);
        if proof {
            return true;
        }
        next = e.source();
    }
    false
}

/// Connection to one address that is reopened on the next call after a failure.
#[derive(Clone)]
pub struct Channel {
    address: SocketAddr,
    connection: Rc<RefCell<Connection>>,
}

/// Current connection of a channel.
#[derive(Default)]
struct Connection {
    sender: Option<SendRequest<Body>>,
    /// Number of connections opened so far.
    generation: u64,
}

impl Channel {
    /// Returns a channel that connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: Rc::default(),
        }
    }

    /// Connects within `limit` ms unless a connection is open. All errors are
    /// [`CallError::NotSent`].
    pub async fn connect(&self, limit: Millis) -> Result<(), CallError> {
        let open = self
            .connection
            .borrow()
            .sender
            .as_ref()
            .is_some_and(|s| !s.is_closed());
        if open {
            return Ok(());
        }
        let result = timeout(Duration::from_millis(limit), self.establish()).await;
        let sender = match result {
            Ok(Ok(sender)) => sender,
            Ok(Err(e)) => return Err(CallError::NotSent(e.to_string())),
            Err(_) => return Err(CallError::NotSent("connect timed out".into())),
        };
        let mut connection = self.connection.borrow_mut();
        connection.sender = Some(sender);
        connection.generation += 1;
        Ok(())
    }

    /// Makes one call through a generated client; connecting and the call may each take `limit` ms.
    pub async fn call<T, F>(
        &self,
        limit: Millis,
        call: impl FnOnce(Self) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        self.connect(limit).await?;
        let generation = self.connection.borrow().generation;
        match timeout(Duration::from_millis(limit), call(self.clone())).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            Ok(Err(status)) => Err(self.classify_failure(status, generation)),
            Err(_) => {
                log::debug!(target: "rpc", "event=unanswered address={} limit_ms={limit}", self.address);
                crate::metrics::count_unanswered_call("grpc");
                // The connection may be broken, so the next call opens a new one.
                self.disconnect(generation);
                Err(CallError::Lost("timed out".into()))
            }
        }
    }

    /// Drops the connection of a generation, but not a newer one.
    fn disconnect(&self, generation: u64) {
        let mut connection = self.connection.borrow_mut();
        if connection.generation == generation {
            connection.sender.take();
        }
    }

    /// Returns the error for a failed call. Drops the connection on a transport error, which has a
    /// source; a status sent by the server has none.
    fn classify_failure(&self, status: tonic::Status, generation: u64) -> CallError {
        if let Some(cause) = std::error::Error::source(&status) {
            self.disconnect(generation);
            return match proves_not_run(cause) {
                true => CallError::NotSent(status.to_string()),
                false => CallError::Lost(status.to_string()),
            };
        }
        CallError::Refused(status.code(), status.message().to_string())
    }

    /// Opens a connection and spawns the task that drives it.
    async fn establish(&self) -> eyre::Result<SendRequest<Body>> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        sockets::enable_keepalive(&stream);
        let io = MonoioIo::new(stream.into_poll_io()?);
        let (sender, connection) = handshake(MonoioExecutor, io).await?;
        monoio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(target: "rpc", "connection closed with an error: {e}");
            }
        });
        Ok(sender)
    }
}

impl Service<http::Request<Body>> for Channel {
    type Response = http::Response<hyper::body::Incoming>;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, mut request: http::Request<Body>) -> Self::Future {
        let sender = self.connection.borrow().sender.clone();
        let path = request.uri().path().to_string();
        let address = self.address;
        Box::pin(async move {
            let Some(mut sender) = sender else {
                return Err(NotSent("not connected".into()).into());
            };
            *request.uri_mut() = format!("http://{address}{path}").parse()?;
            let ready = sender.ready().await;
            ready.map_err(|e| NotSent(e.to_string()))?;
            Ok(sender.send_request(request).await?)
        })
    }
}
