//! Calls that the lease holder makes to the platform and to engines.

use {
    super::settings::Settings,
    agate_adapter::orders,
    agate_leader::{
        candidate::LeaderCandidate,
        order::{Order, OrderOutcome},
        runner::{PlatformCalls, ReportOutcome},
        stage::StageOrder,
        window,
    },
    agate_transport::call::ServiceClient,
    futures_util::FutureExt,
    http::StatusCode,
    std::sync::Arc,
};

/// Creates the callbacks that report usage, order endpoints and change engine stages.
pub fn leader_calls(settings: &Settings, candidate: &Arc<LeaderCandidate>) -> PlatformCalls {
    let caller = Arc::new(ServiceClient::new(settings.orders, orders::MAX_RESPONSE_BYTES));
    let holder: Arc<str> = settings.name.as_str().into();
    let (report_caller, report_holder) = (caller.clone(), holder.clone());
    let (stage_holder, candidate) = (holder.clone(), candidate.clone());
    let report = move |token, window, sealed: window::Sealed| {
        let (caller, holder) = (report_caller.clone(), report_holder.clone());
        async move {
            let authority = orders::Authority { holder: &holder, token };
            let sent = orders::report_usage(&caller, authority, window, sealed.counts()).await;
            match sent {
                Ok(status) if status.is_success() => ReportOutcome::Done,
                Ok(StatusCode::TOO_MANY_REQUESTS) => ReportOutcome::Again,
                Ok(status) if status.is_client_error() => ReportOutcome::Refused,
                Ok(_) | Err(_) => ReportOutcome::Again,
            }
        }
        .boxed()
    };
    let order = move |token, order: Order| {
        let (caller, holder) = (caller.clone(), holder.clone());
        async move {
            let authority = orders::Authority { holder: &holder, token };
            let Order { subject, spot, count } = order;
            let (service, zone) = (&*subject.service, &*subject.zone);
            let sent =
                orders::order_endpoints(&caller, authority, service, zone, count, spot).await;
            match sent {
                Ok(status) if status.is_success() => OrderOutcome::Accepted,
                Ok(StatusCode::CONFLICT) => OrderOutcome::Scarce,
                Ok(_) | Err(_) => OrderOutcome::Unknown,
            }
        }
        .boxed()
    };
    let stage = move |token, order: StageOrder| {
        let (holder, candidate) = (stage_holder.clone(), candidate.clone());
        async move {
            let authority = orders::Authority { holder: &holder, token };
            // Each order uses a new connection, so that none can be delivered late from an old one.
            let caller = ServiceClient::new(order.address, orders::MAX_RESPONSE_BYTES);
            let may_act = || candidate.may_act() == Some(token);
            let sent =
                orders::order_stage(&caller, authority, &order.endpoint, order.stage, may_act)
                    .await;
            sent.map_or_else(|f| f.cause, |outcome| format!("{outcome:?}"))
        }
        .boxed()
    };
    PlatformCalls { report: Box::new(report), order: Box::new(order), stage: Box::new(stage) }
}
