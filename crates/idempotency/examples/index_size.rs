//! Measures the memory of a shard's index and the size of its records for a number of retained
//! claims.

use {
    agate_idempotency::{
        Change, Op, StoredResponse, Token,
        head::{self, Head, Index, Limits},
    },
    std::time::Instant,
};

/// Bytes of a stored response body.
const RESPONSE_BYTES: usize = 200;
/// Bytes of a page of memory.
const PAGE_BYTES: usize = 4096;
/// Claims in one batch.
const BATCH: u64 = 30;

fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn op(n: u64, change: Change) -> Op {
    let mut key = [0; 16];
    key[..8].copy_from_slice(&n.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes());
    Op { key, token: Token { incarnation: 1, serial: n }, change }
}

fn measure(claims: u64) {
    let limits = Limits::default();
    let (mut head, mut index) = (Head::default(), Index::new());
    let (mut bytes, mut segments, mut writes, mut head_bytes) = (0, 0, 0, 0);
    let before = resident();
    let start = Instant::now();
    for first in (0..claims).step_by(BATCH as usize) {
        let numbers = first..first + BATCH;
        let claim = Change::Claim { print: [7; 32], expiry: u64::MAX };
        let response =
            StoredResponse { status: 201, headers: vec![], body: Some(vec![0; RESPONSE_BYTES]) };
        for change in [claim, Change::Finish(response)] {
            let ops: Vec<_> = numbers.clone().map(|n| op(n, change.clone())).collect();
            head = head::apply(&head, &index, &ops, 0, &limits).head;
            let size = head::encode(&head).len();
            head_bytes += size;
            writes += 1;
            if head::is_full(&head, size, &limits) {
                let name = format!("{segments:016x}-1");
                if let Some(s) = head::seal(&mut head, name.clone()) {
                    bytes += head::encode(&s).len();
                    head::index_segment(&mut index, &name, &s);
                    segments += 1;
                }
            }
        }
    }
    let took = start.elapsed();
    let memory = resident().saturating_sub(before);
    println!(
        "| {claims} | {} | {:.0} | {segments} | {:.0} | {:.1} | {:.1} |",
        memory / 1024,
        memory as f64 / claims as f64,
        bytes as f64 / claims as f64,
        head_bytes as f64 / f64::from(writes) / 1024.0,
        took.as_secs_f64() * 1e6 / claims as f64,
    );
}

fn main() {
    println!(
        "| claims retained | index KB | bytes each | segments | segment bytes each | KB per head write | µs each |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for claims in [10_000, 100_000, 1_000_000] {
        measure(claims);
    }
}
