//! The signals that ask for a planned stop and for a look at the settings.

use std::sync::atomic::{AtomicBool, Ordering};

static STOP: AtomicBool = AtomicBool::new(false);
static RELOAD: AtomicBool = AtomicBool::new(false);

extern "C" fn terminate(_: libc::c_int) {
    STOP.store(true, Ordering::Relaxed);
}

extern "C" fn reload(_: libc::c_int) {
    RELOAD.store(true, Ordering::Relaxed);
}

fn handle(signal: libc::c_int, handler: extern "C" fn(libc::c_int)) {
    // SAFETY: the handlers only store into an atomic, which is safe in a signal.
    unsafe { libc::signal(signal, handler as libc::sighandler_t) };
}

/// Takes TERM and INT as the wish for a planned stop, and HUP as the word that
/// the settings have changed.
pub fn catch() {
    handle(libc::SIGTERM, terminate);
    handle(libc::SIGINT, terminate);
    handle(libc::SIGHUP, reload);
}

/// Returns true once a planned stop was asked for.
pub fn asked() -> bool {
    STOP.load(Ordering::Relaxed)
}

/// Returns true once for each time that the settings were said to have changed.
pub fn reload_asked() -> bool {
    RELOAD.swap(false, Ordering::Relaxed)
}
