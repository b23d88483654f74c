//! Decision time of the controller and size of its record.

use {
    super::scenario::{RATE, ZONES},
    crate::table::Table,
    agate_core::Mono,
    agate_fleet::{
        Action, Endpoint, EndpointState, Grant, Input, Kind, Record, Settings, State, step,
    },
    std::time::{Duration, Instant},
};

/// Number of measured rounds.
const ROUNDS: u32 = 2_000;

/// Measures rounds of a list, an observation and a tick, for several numbers of endpoints.
pub fn decisions(sizes: &[usize]) -> Table {
    let head = ["endpoints", "mean time of a round", "longest round", "bytes of the record"];
    let mut table = Table::new("Decisions of the fleet's controller", &head);
    for size in sizes {
        let (mean, longest, bytes) = rounds(*size);
        table.row([
            size.to_string(),
            format!("{mean:.0?}"),
            format!("{longest:.0?}"),
            bytes.to_string(),
        ]);
    }
    table
}

fn rounds(size: usize) -> (Duration, Duration, usize) {
    let mut state = State::new(Settings::new("pool", &ZONES, RATE));
    let grant = Grant { fence: 1, until: Mono::MAX, first_order: Mono::ZERO };
    step(&mut state, Input::Granted(grant, Record::default()), Mono::ZERO);
    let list: Vec<Endpoint> = (0..size)
        .map(|i| Endpoint {
            name: format!("endpoint-{i}").into(),
            zone: ZONES[i % ZONES.len()].into(),
            kind: [Kind::Cheap, Kind::Standard][usize::from(i % 5 == 0)],
            state: EndpointState::Live,
            declared: false,
        })
        .collect();
    let (mut all, mut longest, mut bytes) = (Duration::ZERO, Duration::ZERO, 0);
    for i in 0..ROUNDS {
        let now = Duration::from_secs(i.into());
        let level = size as f64 * RATE * (0.7 + 0.2 * f64::from(i % 600) / 600.0);
        let list = list.clone();
        let start = Instant::now();
        step(&mut state, Input::Listed(list), now);
        step(&mut state, Input::Observed { deadline: level * 0.6, long: level * 0.4 }, now);
        let actions = step(&mut state, Input::Tick, now);
        let took = start.elapsed();
        (all, longest) = (all + took, longest.max(took));
        for action in actions {
            if let Action::Write { number, bytes: content } = action {
                bytes = bytes.max(content.len());
                step(&mut state, Input::Recorded(number), now);
            }
        }
    }
    (all / ROUNDS, longest, bytes)
}
