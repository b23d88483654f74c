//! Budget and circuit breaker limit the calls of one instance and keep a reserve for urgent
//! purposes.

use {
    agate_store::{
        Purpose,
        breaker::{self, Breaker},
        budget::{Budget, Budgets, Rate},
        quota,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
    std::time::Duration,
};

const RATE: Rate = Rate { period: Duration::from_millis(100), burst: 10 };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..Default::default()
    })]

    /// No interval admits more calls than the burst plus the credit that grew in it.
    #[test]
    fn bounded_rate(requests in prop::collection::vec((0usize..5, 0u64..400), 1..200)) {
        let (mut b, mut now, mut admitted) = (Budget::open(RATE, Duration::ZERO), ms(0), vec![]);
        for (p, gap) in requests {
            now += ms(gap);
            match b.take(Purpose::ALL[p], now) {
                Ok(()) => admitted.push(now),
                Err(wait) => {
                    let mut later = b.clone();
                    prop_assert!(later.take(Purpose::ALL[p], now + wait).is_ok());
                }
            }
        }
        for (i, from) in admitted.iter().enumerate() {
            for (n, to) in admitted[i..].iter().enumerate() {
                let grown = (*to - *from).as_millis() / RATE.period.as_millis();
                prop_assert!(n as u128 <= u128::from(RATE.burst) + grown);
            }
        }
    }
}

#[rstest]
#[case(Purpose::Report)]
#[case(Purpose::Record)]
#[case(Purpose::Claim)]
#[case(Purpose::Config)]
fn urgent_reserve(#[case] flood: Purpose) {
    let mut b = Budget::open(RATE, ms(0));
    for t in 0..=1000 {
        let _ = b.take(flood, ms(t));
    }
    assert!(b.take(flood, ms(1000)).is_err());
    assert!(b.take(Purpose::Lease, ms(1000)).is_ok());
}

#[test]
fn drained_bucket() {
    let mut b = Budget::open(RATE, ms(0));
    b.drain(ms(0));
    assert_eq!(b.take(Purpose::Lease, ms(0)), Err(ms(100)));
    assert!(b.take(Purpose::Lease, ms(100)).is_ok());
    b.charge(3, ms(200));
    assert!(b.take(Purpose::Lease, ms(200)).is_err());
}

#[test]
fn single_probe() {
    let settings = breaker::Settings { failures: 2, base: ms(100), max: ms(1000) };
    let mut b = Breaker::new(settings);
    b.on_failure(ms(0), 0.5);
    b.on_success();
    b.on_failure(ms(0), 0.5);
    assert!(b.allow(ms(0)));
    b.on_failure(ms(0), 0.0);
    assert!(!b.allow(ms(49)));
    assert!(b.allow(ms(50)), "the probe");
    assert!(!b.allow(ms(50)), "one probe at a time");
    b.on_failure(ms(60), 0.0);
    assert!(!b.allow(ms(159)) && b.allow(ms(160)));
    assert!(!b.allow(ms(161)));
    assert!(b.allow(ms(1160)), "an abandoned probe counts as lost");
    b.on_success();
    assert!(b.is_closed());
}

/// The rate of a lease holder's calls must not depend on the size of the fleet; shared rates
/// decrease to their minimum share.
#[rstest]
#[case(8)]
#[case(25)]
#[case(1_900)]
fn fleet_shares(#[case] instances: usize) {
    let mut b = Budgets::open(quota::writes(instances), ms(0));
    let mut admitted = [0u32; Purpose::ALL.len()];
    for second in 0..200 {
        for (i, p) in Purpose::ALL.into_iter().enumerate() {
            admitted[i] += u32::from(b.take(p, Duration::from_secs(second)).is_ok());
        }
    }
    let fixed = [Purpose::Lease, Purpose::Record, Purpose::Report].map(|p| admitted[p as usize]);
    assert_eq!(fixed, [200; 3]);
    let share = 200 * 20 / instances.min(quota::CONFIG_READERS) as u32;
    let config = admitted[Purpose::Config as usize];
    assert!((share.min(200)..=share + 20 + 1).contains(&config), "{config} of {share}");
}
