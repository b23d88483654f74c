//! Stores that inject faults when the head is replaced.

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

/// Returns a store that runs `before` once, just before the first replacement of the head.
pub fn before_head_swap<F>(store: &Store, before: impl Fn() -> F + Send + Sync + 'static) -> Store
where
    F: Future<Output = ()> + Send + 'static,
{
    let (inner, armed) = (store.clone(), AtomicBool::new(true));
    Store::new(move |purpose, call| {
        let inner = inner.clone();
        let hook = (swaps_head(&call) && armed.swap(false, Ordering::Relaxed)).then(&before);
        Box::pin(async move {
            if let Some(hook) = hook {
                hook.await;
            }
            inner.call(purpose, call).await
        })
    })
}

/// Returns a store that loses the response to the first replacement of the head, or the call itself
/// if it is not `effective`, and then runs `after`.
pub fn lose_response(
    store: &Store,
    effective: bool,
    after: impl Fn() + Send + Sync + 'static,
) -> Store {
    let (inner, armed, after) = (store.clone(), AtomicBool::new(true), Arc::new(after));
    Store::new(move |purpose, call| {
        let (inner, after) = (inner.clone(), after.clone());
        let is_lost = swaps_head(&call) && armed.swap(false, Ordering::Relaxed);
        Box::pin(async move {
            if !is_lost {
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
