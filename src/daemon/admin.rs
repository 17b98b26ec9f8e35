//! Serves readiness and metrics over HTTP.

use std::rc::Rc;

use http::StatusCode;
use monoio::net::TcpListener;

use super::shared::Shared;
use crate::metrics;
use crate::utils::drain::Drain;
use crate::web::server::Limits;
use crate::web::{self, Reply};

/// Serves `/ready` and `/metrics` until the process ends.
pub async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    let handle = move |request| {
        let reply = respond(&shared, &request);
        std::future::ready(reply)
    };
    web::server::serve(listener, Limits::ADMIN, Drain::never(), handle).await;
}

/// Returns the reply to a request.
fn respond(shared: &Shared, request: &web::Request) -> Reply {
    match request.uri.path() {
        "/ready" if shared.is_ready() => Reply::text(StatusCode::OK, "ready\n"),
        "/ready" => Reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => Reply::text(StatusCode::OK, metrics_text(shared)),
        _ => Reply::text(StatusCode::NOT_FOUND, "try /ready or /metrics\n"),
    }
}

/// Returns all metrics as text, after updating the gauges that no event updates.
fn metrics_text(shared: &Shared) -> String {
    let metrics = metrics::get();
    metrics.unserved_time.set(shared.unserved_ms() as i64);
    metrics
        .other_boxes
        .set(shared.peer_addresses().count() as i64);
    shared.callers.update_gauges();
    metrics.encode()
}
