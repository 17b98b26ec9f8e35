//! The signal that asks for a planned stop.

use std::sync::atomic::{AtomicBool, Ordering};

static ASKED: AtomicBool = AtomicBool::new(false);

extern "C" fn terminate(_: libc::c_int) {
    ASKED.store(true, Ordering::Relaxed);
}

/// Takes TERM and INT as the wish for a planned stop.
pub fn catch() {
    let handler = terminate as extern "C" fn(libc::c_int);
    // SAFETY: the handler only stores into an atomic, which is safe in a signal.
    unsafe {
        libc::signal(libc::SIGTERM, handler as libc::sighandler_t);
        libc::signal(libc::SIGINT, handler as libc::sighandler_t);
    }
}

/// Returns true once a planned stop was asked for.
pub fn asked() -> bool {
    ASKED.load(Ordering::Relaxed)
}
