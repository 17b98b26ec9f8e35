//! Client of the advisor, a service that decides which workers may run a step.

use std::net::SocketAddr;

use http::{Method, StatusCode};

use super::wire::{self, AdviceReply};
use crate::sched::message::{Advice, AdviceRequest, Refusal, Reply};
use crate::table::encode;
use crate::utils::clock::Millis;
use crate::web::client::Pool;

/// Largest reply in bytes: about a hundred workers.
const MAX_REPLY_BYTES: usize = 1 << 16;
/// Timeout of a query in milliseconds, including the time that it is queued at the advisor.
const ADVICE_TIMEOUT: Millis = 3_000;

/// Client of the advisor.
#[derive(Clone)]
pub struct Advisor {
    pool: Pool,
    address: Option<SocketAddr>,
}

impl Advisor {
    /// Returns a client; without an address, every query fails.
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self {
            pool: Pool::new(MAX_REPLY_BYTES),
            address,
        }
    }

    /// Asks which of the given workers may run a step.
    pub async fn advise(&self, query: &AdviceRequest) -> Reply<Advice> {
        let Some(address) = self.address else {
            log::error!(target: "task", "step={} event=no-advisor", query.name);
            return Reply::NotSent;
        };
        let body = encode(&wire::AdviceRequest {
            step: &query.name,
            workers: &query.workers,
        });
        let call = wire::call(
            &self.pool,
            address,
            Method::POST,
            "/advise",
            Some(body),
            None,
            ADVICE_TIMEOUT,
        );
        match call.await {
            Ok(reply) if reply.status == StatusCode::OK => decode_advice(&reply.body),
            Ok(reply) => {
                log::info!(target: "task", "step={} event=advice-refused status={}", query.name, reply.status);
                Reply::Refused(Refusal::Unwell)
            }
            Err(e) if e.is_unsent() => Reply::NotSent,
            Err(e) => {
                log::info!(target: "task", "step={} event=advice-lost cause=\"{e}\"", query.name);
                Reply::Lost
            }
        }
    }
}

/// Returns the advice in a reply's body.
fn decode_advice(body: &[u8]) -> Reply<Advice> {
    match serde_json::from_slice::<AdviceReply>(body) {
        Ok(reply) => Reply::Ok(Advice {
            permits: reply.good,
            valid_for: reply.valid_ms,
        }),
        Err(e) => {
            log::error!(target: "task", "event=malformed-advice cause=\"{e}\"");
            Reply::Lost
        }
    }
}
