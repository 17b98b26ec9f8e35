//! Small stand-ins for what willowpoint runs between: the platform and the
//! workers. They are for trying out, for tests and for measurements.

pub mod platform;
pub mod table;
pub mod worker;

use std::net::SocketAddr;

use monoio::net::TcpListener;

/// Binds a listener on an address.
pub fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    use eyre::WrapErr;
    TcpListener::bind(address).wrap_err_with(|| format!("cannot listen on {address}"))
}
