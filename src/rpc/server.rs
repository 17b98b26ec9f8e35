//! Serves generated gRPC services over HTTP/2.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

use futures::future::{Either, select};
use hyper::body::Incoming;
use hyper::server::conn::http2;
use monoio::io::IntoPollIo;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioExecutor, MonoioIo};
use tonic::body::Body;

use crate::utils::drain::Drain;
use crate::utils::listen;

/// Largest number of calls in progress on one connection.
const MAX_STREAMS: u32 = 4_096;
/// Bytes that a client may send on one connection before they are read.
const CONNECTION_WINDOW: u32 = 512 << 10;
/// Bytes of one call that a client may send before they are read.
const STREAM_WINDOW: u32 = 256 << 10;

/// Accepts connections until `drain` begins and passes each call to `handle`.
///
/// Calls received by then are answered. A GOAWAY tells each client which calls these are.
pub async fn serve<H, F>(listener: TcpListener, drain: Drain, handle: H)
where
    H: Fn(http::Request<Incoming>) -> F + 'static,
    F: Future<Output = http::Response<Body>> + 'static,
{
    let handle = Rc::new(handle);
    let begin = |stream| {
        monoio::spawn(serve_connection(stream, drain.clone(), handle.clone()));
    };
    listen::accept_all(listener, &drain, begin).await;
}

/// Serves the calls of one connection until it closes or the drain has completed.
async fn serve_connection<H, F>(stream: TcpStream, drain: Drain, handle: Rc<H>)
where
    H: Fn(http::Request<Incoming>) -> F + 'static,
    F: Future<Output = http::Response<Body>> + 'static,
{
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(target: "rpc", "failed to set TCP_NODELAY: {e}");
    }
    let stream = match stream.into_poll_io() {
        Ok(stream) => stream,
        Err(e) => return log::warn!(target: "rpc", "connection setup failed: {e}"),
    };
    let service = hyper::service::service_fn(move |request| {
        let reply = handle(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let serving = http2::Builder::new(MonoioExecutor)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .initial_stream_window_size(STREAM_WINDOW)
        .serve_connection(MonoioIo::new(stream), service);
    let mut serving = pin!(serving);
    let ended = match select(serving.as_mut(), pin!(drain.begun())).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(e) = ended {
        log::debug!(target: "rpc", "connection closed with an error: {e}");
    }
}

/// Returns the reply to a call to an unknown service.
pub fn unimplemented() -> http::Response<Body> {
    tonic::Status::unimplemented("no such service").into_http()
}
