//! Measures latency that the test setup adds: lookups of a stand-in service at three rates, through
//! the stand-in's byte proxy and without it. Only the ratios within a row are meaningful.

use {
    agate_load::{Organisation, Settings, mix::Kind, profile, run},
    agate_standin::Service,
    std::{net::SocketAddr, time::Duration},
};

const PROFILE: &str = include_str!("../../../examples/load-savikoda.yaml");
const SEED: u64 = 9;
const TIME: Duration = Duration::from_secs(4);

fn settings(target: SocketAddr, rate: f64) -> Settings {
    let mut mix = profile::parse(PROFILE).expect("the example is valid").mix;
    mix.shares.retain(|s| s.kind == Kind::Lookup);
    let organisation = Organisation { name: "one".into(), key: String::new(), weight: 1.0 };
    Settings {
        targets: vec![target],
        seed: SEED,
        rate,
        time: TIME,
        grace: TIME,
        open: 512,
        organisations: vec![organisation],
        mix,
        echo: true,
    }
}

#[tokio::main(worker_threads = 4)]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("| lookups/s | sent | good | p50 ratio | p99 ratio |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for rate in [500.0, 1000.0, 2000.0] {
        let service = Service::bind("127.0.0.1:0".parse()?, "desk").await?;
        let direct = run(settings(service.direct(), rate), |_| ()).await?.total;
        let proxied = run(settings(service.address(), rate), |_| ()).await?.total;
        println!(
            "| {rate} | {} | {:.3} | {:.2} | {:.2} |",
            direct.sent,
            direct.goodput.min(proxied.goodput),
            proxied.whole.p50 / direct.whole.p50,
            proxied.whole.p99 / direct.whole.p99,
        );
    }
    Ok(())
}
