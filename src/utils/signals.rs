//! The signals that ask for a planned stop and for a look at the settings.

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
    // SAFETY: the handlers only store into an atomic, which is safe in a signal.
    unsafe { libc::signal(signal, handler as libc::sighandler_t) };
}

/// Takes TERM and INT as the wish for a planned stop, and HUP as the word that
/// the settings have changed.
pub fn install_handlers() {
    install(libc::SIGTERM, on_terminate);
    install(libc::SIGINT, on_terminate);
    install(libc::SIGHUP, on_reload);
}

/// Returns true once a planned stop was asked for.
pub fn stop_requested() -> bool {
    STOP.load(Ordering::Relaxed)
}

/// Returns true once for each time that the settings were said to have changed.
pub fn take_reload_request() -> bool {
    RELOAD.swap(false, Ordering::Relaxed)
}
