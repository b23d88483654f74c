//! An organisation that sends ten times its share must not reduce the shares of the others or the
//! total goodput.

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
fn flooded_shares(#[case] engines: u32, #[case] seed: u64) {
    let case = Case { engines, length: Duration::from_secs(60), seed };
    let (fifo, fair) = (measure(&case, Order::Fifo), measure(&case, Order::Fair));
    let capacity = fair.good_work(measured).max(fifo.good_work(measured));
    let (share, org) = fair.worst_served(capacity, measured);
    assert!(share >= 0.9, "organisation {org} got {share:.3} of its fair share");
    assert!(
        fair.good_work(measured) >= fifo.good_work(measured),
        "the total goodput is below that of FIFO"
    );
    assert!(fair.good_count(measured) >= fifo.good_count(measured));
}
