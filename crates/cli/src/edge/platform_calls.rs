//! Calls that the holder of the duties lease makes to the platform and to engines.

use {
    super::settings::Settings,
    agate_adapter::orders,
    agate_duty::{
        order::{Answer, Order},
        runner::{Calls, Reported},
        seat::Seat,
        stage::StageOrder,
        window,
    },
    agate_link::call::Caller,
    futures_util::FutureExt,
    http::StatusCode,
    std::sync::Arc,
};

/// Creates the callbacks that report usage, order endpoints and change engine stages.
pub fn duty_calls(settings: &Settings, seat: &Arc<Seat>) -> Calls {
    let caller = Arc::new(Caller::new(settings.orders, orders::ANSWER_BYTES));
    let holder: Arc<str> = settings.name.as_str().into();
    let (report_caller, report_holder) = (caller.clone(), holder.clone());
    let (stage_holder, seat) = (holder.clone(), seat.clone());
    let report = move |token, window, sealed: window::Sealed| {
        let (caller, holder) = (report_caller.clone(), report_holder.clone());
        async move {
            let authority = orders::Authority { holder: &holder, token };
            let sent = orders::report_usage(&caller, authority, window, sealed.counts()).await;
            match sent {
                Ok(status) if status.is_success() => Reported::Done,
                Ok(StatusCode::TOO_MANY_REQUESTS) => Reported::Again,
                Ok(status) if status.is_client_error() => Reported::Refused,
                Ok(_) | Err(_) => Reported::Again,
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
                Ok(status) if status.is_success() => Answer::Accepted,
                Ok(StatusCode::CONFLICT) => Answer::Scarce,
                Ok(_) | Err(_) => Answer::Unknown,
            }
        }
        .boxed()
    };
    let stage = move |token, order: StageOrder| {
        let (holder, seat) = (stage_holder.clone(), seat.clone());
        async move {
            let authority = orders::Authority { holder: &holder, token };
            // Each order uses a new connection, so that none can be delivered late from an old one.
            let caller = Caller::new(order.address, orders::ANSWER_BYTES);
            let may_act = || seat.may_act() == Some(token);
            let sent =
                orders::order_stage(&caller, authority, &order.endpoint, order.stage, may_act)
                    .await;
            sent.map_or_else(|f| f.cause, |outcome| format!("{outcome:?}"))
        }
        .boxed()
    };
    Calls { report: Box::new(report), order: Box::new(order), stage: Box::new(stage) }
}
