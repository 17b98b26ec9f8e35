//! Handles the signals that request a planned stop or a reload of the settings.

use std::sync::atomic::{AtomicBool, Ordering};

static STOP: AtomicBool = AtomicBool::new(false);
static RELOAD: AtomicBool = AtomicBool::new(false);

extern "C" fn on_terminate(_: libc::c_int) {
    STOP.store(true, Ordering::Relaxed);
}

extern "C" fn on_reload(_: libc::c_int) {
    RELOAD.store(true, Ordering::Relaxed);
}

fn install(signal: libc::c_int, handler: extern "C" fn(libc::c_int)) {
    // SAFETY: the handlers only store to an atomic, which is async-signal-safe.
    unsafe { libc::signal(signal, handler as libc::sighandler_t) };
}

/// Installs the handlers: SIGTERM and SIGINT request a planned stop, SIGHUP requests a reload of
/// the settings.
pub fn install_handlers() {
    install(libc::SIGTERM, on_terminate);
    install(libc::SIGINT, on_terminate);
    install(libc::SIGHUP, on_reload);
}

/// Returns true once a planned stop was requested.
pub fn stop_requested() -> bool {
    STOP.load(Ordering::Relaxed)
}

/// Returns true if a reload was requested since the last call.
pub fn take_reload_request() -> bool {
    RELOAD.swap(false, Ordering::Relaxed)
}
