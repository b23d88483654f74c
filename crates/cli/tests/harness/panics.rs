//! Records panics by thread name, which the runtime would otherwise swallow.

use std::{
    panic,
    sync::{Mutex, Once},
    thread,
};

static SEEN: Mutex<Vec<String>> = Mutex::new(Vec::new());
static HOOK: Once = Once::new();

/// Installs the panic hook and returns a new prefix for thread names.
pub fn install_hook() -> String {
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
pub fn recorded(prefix: &str) -> Vec<String> {
    let seen = SEEN.lock().unwrap_or_else(|e| e.into_inner());
    seen.iter().filter(|s| s.starts_with(prefix)).cloned().collect()
}
