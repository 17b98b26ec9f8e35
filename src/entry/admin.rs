//! HTTP endpoints for health, readiness and metrics.

use std::rc::Rc;

use http::StatusCode;
use monoio::net::TcpListener;

use super::driver::Context;
use crate::engine::{Query, View};
use crate::metrics;
use crate::utils::drain::Drain;
use crate::web::server::Limits;
use crate::web::{self, Reply};

/// Serves `/health`, `/ready` and `/metrics` until the process ends.
pub async fn serve(listener: TcpListener, context: Rc<Context>) {
    let handle = move |request| handle(context.clone(), request);
    web::server::serve(listener, Limits::ADMIN, Drain::never(), handle).await;
}

async fn handle(context: Rc<Context>, request: web::Request) -> Reply {
    match request.uri.path() {
        "/health" => Reply::text(StatusCode::OK, "ok\n"),
        "/ready" => ready(&context).await,
        "/metrics" => Reply::text(StatusCode::OK, metrics::get().encode()),
        _ => Reply::text(
            StatusCode::NOT_FOUND,
            "not found: try /health, /ready or /metrics\n",
        ),
    }
}

async fn ready(context: &Context) -> Reply {
    let view = context.query(Query::Status).await;
    match view {
        Some(View::Status(status)) if status.ready => Reply::text(StatusCode::OK, "ready\n"),
        _ => Reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}
