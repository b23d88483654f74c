//! Model of one engine: continuous batching in iterations, chunked prefill, prefix cache.
//!
//! An iteration generates one token for every sequence whose prefill is complete, and processes a
//! limited number of prefill tokens, questions first. Its duration increases with both.

use {
    crate::{cache::Cache, workload::Request},
    std::{collections::VecDeque, time::Duration},
};

/// Size and speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum number of sequences in the batch.
    pub slots: u32,
    /// Maximum number of prefill tokens in one iteration.
    pub chunk: u32,
    /// Capacity of the prefix cache, in blocks.
    pub blocks: usize,
    /// Duration of an empty iteration.
    pub base: Duration,
    /// Additional duration per decoding sequence.
    pub per_sequence: Duration,
    /// Additional duration per prefill token.
    pub per_token: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            slots: 32,
            chunk: 256,
            blocks: 4096,
            base: Duration::from_millis(10),
            per_sequence: Duration::from_micros(250),
            per_token: Duration::from_micros(50),
        }
    }
}

#[derive(Clone, Debug)]
struct Sequence {
    request: Request,
    /// Prompt tokens that are still to be processed.
    prefill: u32,
    /// Tokens that are still to be generated.
    output: u32,
    /// Number of prompt tokens found in the cache.
    cached: u32,
}

/// Progress of a request in an iteration.
#[derive(Clone, Debug)]
pub enum Output {
    /// A request got its first token.
    First {
        /// Index of the request in the workload.
        id: usize,
        /// Number of prompt tokens found in the cache.
        cached: u32,
    },
    /// A request got its last token.
    Done {
        /// Index of the request in the workload.
        id: usize,
    },
}

/// Model of one engine.
#[derive(Debug)]
pub struct Engine {
    /// Size and speed.
    pub config: Config,
    /// Prefix cache.
    pub cache: Cache,
    /// Blocks evicted since the caller last cleared this list.
    pub evicted: Vec<u64>,
    running: Vec<Sequence>,
    waiting: VecDeque<Request>,
}

impl Engine {
    /// Returns an idle engine.
    pub fn new(config: Config) -> Self {
        let cache = Cache::new(config.blocks);
        let evicted = Vec::new();
        Self { config, cache, evicted, running: Vec::new(), waiting: VecDeque::new() }
    }

    /// Adds a request to the engine's queue; questions precede dossiers.
    pub fn push(&mut self, request: Request) {
        let later = |r: &Request| request.urgent && !r.urgent;
        let place = self.waiting.iter().position(later).unwrap_or(self.waiting.len());
        self.waiting.insert(place, request);
    }

    /// Maximum number of sequences in the batch.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of requests in the engine's queue.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Runs one iteration. Returns its duration, the number of sequences that got a token and the
    /// progress of requests, or `None` if there is nothing to do.
    pub fn iterate(&mut self) -> Option<(Duration, u32, Vec<Output>)> {
        self.fill_batch();
        if self.running.is_empty() {
            return None;
        }
        let tokens = self.prefill();
        let mut outputs = Vec::new();
        let decoding = self.decode(&mut outputs);
        let config = &self.config;
        let time = config.base + config.per_sequence * decoding + config.per_token * tokens;
        Some((time, decoding, outputs))
    }

    fn fill_batch(&mut self) {
        while self.running.len() < self.config.slots as usize {
            let Some(request) = self.waiting.pop_front() else { return };
            let blocks = self.cache.hits(&request.prefix) as u32;
            let cached = (blocks * agate_route::prefix::BLOCK_TOKENS).min(request.prompt - 1);
            let prefill = if request.imported { 0 } else { request.prompt - cached };
            let output = request.output;
            self.running.push(Sequence { request, prefill, output, cached });
        }
    }

    /// Processes the prefill tokens of one iteration; returns their number.
    fn prefill(&mut self) -> u32 {
        let mut order: Vec<_> = (0..self.running.len()).collect();
        order.retain(|i| self.running[*i].prefill > 0);
        order.sort_by_key(|i| (!self.running[*i].request.urgent, *i));
        let mut left = self.config.chunk;
        for i in order {
            let sequence = &mut self.running[i];
            let part = sequence.prefill.min(left);
            sequence.prefill -= part;
            left -= part;
            if sequence.prefill == 0 {
                let evicted = self.cache.store(&sequence.request.prefix);
                self.evicted.extend(evicted);
            }
        }
        self.config.chunk - left
    }

    fn decode(&mut self, outputs: &mut Vec<Output>) -> u32 {
        let mut decoding = 0;
        self.running.retain_mut(|s| {
            if s.prefill > 0 {
                return true;
            }
            decoding += 1;
            if s.output == s.request.output {
                outputs.push(Output::First { id: s.request.id, cached: s.cached });
            }
            s.output -= 1;
            if s.output == 0 {
                outputs.push(Output::Done { id: s.request.id });
            }
            s.output > 0
        });
        decoding
    }
}
