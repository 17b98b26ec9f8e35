//! Serves generated gRPC services.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::server::conn::http2;
use monoio::io::IntoPollIo;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioExecutor, MonoioIo};
use tonic::body::Body;

/// Largest number of calls in progress on one connection.
const STREAMS: u32 = 4_096;

/// Accepts connections for ever and hands each call to `handle`.
pub async fn serve<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(http::Request<Incoming>) -> F + 'static,
    F: Future<Output = http::Response<Body>> + 'static,
{
    let handle = Rc::new(handle);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(connection(stream, handle.clone()));
            }
            Err(e) => log::warn!(target: "rpc", "accept failed: {e}"),
        }
    }
}

async fn connection<H, F>(stream: TcpStream, handle: Rc<H>)
where
    H: Fn(http::Request<Incoming>) -> F + 'static,
    F: Future<Output = http::Response<Body>> + 'static,
{
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(target: "rpc", "no delay option: {e}");
    }
    let stream = match stream.into_poll_io() {
        Ok(stream) => stream,
        Err(e) => return log::warn!(target: "rpc", "connection refused: {e}"),
    };
    let service = hyper::service::service_fn(move |request| {
        let reply = handle(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let result = http2::Builder::new(MonoioExecutor)
        .max_concurrent_streams(STREAMS)
        .serve_connection(MonoioIo::new(stream), service)
        .await;
    if let Err(e) = result {
        log::debug!(target: "rpc", "connection ended: {e}");
    }
}

/// Returns the reply to a call of a service that is not served here.
pub fn unimplemented() -> http::Response<Body> {
    tonic::Status::unimplemented("no such service").into_http()
}
