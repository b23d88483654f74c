//! Stores with faults at the replacement of the head.

#![allow(dead_code, reason = "each test file uses its own part of the support")]

use {
    agate_config::head::HEAD_KEY,
    agate_store::{Call, Error, Store},
    std::{
        future::Future,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
};

fn swaps_head(call: &Call) -> bool {
    matches!(call, Call::Swap { key, .. } if key == HEAD_KEY)
}

/// Runs `first` once, just before the first replacement of the head.
pub fn on_head<F>(store: &Store, first: impl Fn() -> F + Send + Sync + 'static) -> Store
where
    F: Future<Output = ()> + Send + 'static,
{
    let (inner, armed) = (store.clone(), AtomicBool::new(true));
    Store::new(move |purpose, call| {
        let inner = inner.clone();
        let hook = (swaps_head(&call) && armed.swap(false, Ordering::Relaxed)).then(&first);
        Box::pin(async move {
            if let Some(hook) = hook {
                hook.await;
            }
            inner.call(purpose, call).await
        })
    })
}

/// Loses the answer to the first replacement of the head, or the call itself, then runs `after`.
pub fn lose_answer(
    store: &Store,
    effective: bool,
    after: impl Fn() + Send + Sync + 'static,
) -> Store {
    let (inner, armed, after) = (store.clone(), AtomicBool::new(true), Arc::new(after));
    Store::new(move |purpose, call| {
        let (inner, after) = (inner.clone(), after.clone());
        let lose = swaps_head(&call) && armed.swap(false, Ordering::Relaxed);
        Box::pin(async move {
            if !lose {
                return inner.call(purpose, call).await;
            }
            if effective {
                inner.call(purpose, call).await?;
            }
            after();
            Err(Error::Ambiguous { step: "swap", peer: "test".into(), cause: "lost".into() })
        })
    })
}
