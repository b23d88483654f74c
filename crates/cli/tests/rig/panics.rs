//! Notes panics by the names of their threads, which the runtime would swallow.

use std::{
    panic,
    sync::{Mutex, Once},
    thread,
};

static SEEN: Mutex<Vec<String>> = Mutex::new(Vec::new());
static HOOK: Once = Once::new();

/// Starts to note panics; returns a begin for the names of threads that none before had.
pub fn watch() -> String {
    HOOK.call_once(|| {
        let usual = panic::take_hook();
        panic::set_hook(Box::new(move |panic| {
            let thread = thread::current().name().unwrap_or_default().to_owned();
            let mut seen = SEEN.lock().unwrap_or_else(|e| e.into_inner());
            seen.push(format!("{thread}: {panic}"));
            drop(seen);
            usual(panic);
        }));
    });
    format!("rig-{:08x}-", rand::random::<u32>())
}

/// Panics in threads whose names begin with `prefix`.
pub fn seen(prefix: &str) -> Vec<String> {
    let seen = SEEN.lock().unwrap_or_else(|e| e.into_inner());
    seen.iter().filter(|s| s.starts_with(prefix)).cloned().collect()
}
