//! Tasks that panic.

use {
    agate_task::Supervisor,
    prometheus::{Registry, TextEncoder},
    std::sync::{
        Arc,
        atomic::{AtomicU32, Ordering::SeqCst},
    },
};

/// A task that panics is counted and started again, until it ends by itself.
#[tokio::test(start_paused = true)]
async fn restarted_task() {
    let (supervisor, starts) = (Supervisor::default(), Arc::<AtomicU32>::default());
    let registry = Registry::new();
    supervisor.register(&registry);
    let counted = starts.clone();
    let task = supervisor.run("odd", move || {
        let starts = counted.clone();
        async move {
            let number = starts.fetch_add(1, SeqCst);
            assert!(number >= 2, "start {number}");
        }
    });
    task.await;
    assert_eq!(starts.load(SeqCst), 3);
    let text = TextEncoder::new().encode_to_string(&registry.gather()).expect("text");
    assert!(text.contains(r#"agatetrack_task_panics_total{task="odd"} 2"#), "{text}");
}

/// Dropping the future ends the task.
#[tokio::test]
async fn dropped_supervisor() {
    let alive = Arc::new(());
    let held = alive.clone();
    let task = tokio::spawn(Supervisor::default().run("waiting", move || {
        let held = held.clone();
        async move {
            std::future::pending::<()>().await;
            drop(held);
        }
    }));
    while Arc::strong_count(&alive) < 3 {
        tokio::task::yield_now().await;
    }
    task.abort();
    let _ = task.await;
    while Arc::strong_count(&alive) > 1 {
        tokio::task::yield_now().await;
    }
}
