//! Background tasks of an instance.
//!
//! A task that panics would end without a word, and with it what it does for the instance. Under
//! [`Supervisor::run`] the panic is logged and counted, and the task is started again from scratch.

use {
    prometheus::{IntCounterVec, Opts, Registry},
    std::{any::Any, panic, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Time until a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(250);

/// Starts tasks again that panic; clones share the counter.
#[derive(Clone, Debug)]
pub struct Supervisor {
    panics: IntCounterVec,
}

impl Default for Supervisor {
    fn default() -> Self {
        let opts = Opts::new("agatetrack_task_panics_total", "Panics of background tasks");
        let panics = IntCounterVec::new(opts, &["task"]).expect("metric names are valid");
        Self { panics }
    }
}

impl Supervisor {
    /// Registers the counter of panics.
    pub fn register(&self, registry: &Registry) {
        registry.register(Box::new(self.panics.clone())).expect("metric names are distinct");
    }

    /// Runs the task that `make` returns, and another one whenever it has panicked. Returns when it
    /// ends otherwise, and ends it when dropped.
    pub async fn run<R>(self, name: &'static str, make: impl Fn() -> R)
    where
        R: Future<Output = ()> + Send + 'static,
    {
        loop {
            let mut task = JoinSet::new();
            task.spawn(make());
            let Some(Err(e)) = task.join_next().await else { return };
            let Ok(panic) = e.try_into_panic() else { return };
            self.panics.with_label_values(&[name]).inc();
            log::error!(event = "task_panicked", task = name, cause = text_of(&*panic); "a background task panicked; starting it again");
            sleep(RESTART_DELAY).await;
        }
    }
}

/// Logs every panic of the process with its place, in addition to what the former hook does.
pub fn log_panics() {
    let former = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let place = info.location().map(ToString::to_string);
        log::error!(event = "panic", place = place.as_deref(), cause = text_of(info.payload()); "panicked");
        former(info);
    }));
}

fn text_of(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("no text")
}
