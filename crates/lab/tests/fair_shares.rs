//! Fairness targets with one organisation at ten times its share.

use {
    agate_lab::{
        baseline::Order,
        study::fairness::{Case, measure, measured},
    },
    rstest::rstest,
    std::time::Duration,
};

#[rstest]
#[case(8, 20)]
#[case(8, 21)]
#[case(16, 22)]
fn worst_served_keeps_share(#[case] engines: u32, #[case] seed: u64) {
    let case = Case { engines, length: Duration::from_secs(60), seed };
    let (fifo, fair) = (measure(&case, Order::Fifo), measure(&case, Order::Fair));
    let capacity = fair.good_work(measured).max(fifo.good_work(measured));
    let (share, org) = fair.worst_served(capacity, measured);
    assert!(share >= 0.9, "organisation {org} got {share:.3} of its fair share");
    assert!(
        fair.good_work(measured) >= fifo.good_work(measured),
        "total goodput fell below FIFO's"
    );
    assert!(fair.good_count(measured) >= fifo.good_count(measured));
}
