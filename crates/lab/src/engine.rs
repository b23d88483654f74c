//! Model of one engine: continuous batching in iterations, chunked prefill, prefix cache.
//!
//! An iteration gives one token to every sequence whose prefill is complete, and spends a bounded
//! number of tokens on prefill, short prompts first. Its duration grows with both.

use {
    crate::{cache::Cache, workload::Request},
    std::{collections::VecDeque, time::Duration},
};

/// Shape and speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Sequences in the batch.
    pub slots: u32,
    /// Prefill tokens in one iteration.
    pub chunk: u32,
    /// Blocks in the prefix cache.
    pub blocks: usize,
    /// Duration of an empty iteration.
    pub base: Duration,
    /// Additional duration for each decoding sequence.
    pub per_sequence: Duration,
    /// Additional duration for each prefill token.
    pub per_token: Duration,
}

impl Default for Shape {
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
    prefill: u32,
    output: u32,
    cached: u32,
}

/// What an iteration brought about.
#[derive(Clone, Debug)]
pub enum Output {
    /// First token of a request, with the prompt tokens found in the cache.
    First {
        /// The request.
        id: usize,
        /// Prompt tokens found in the cache.
        cached: u32,
    },
    /// Last token of a request.
    Done {
        /// The request.
        id: usize,
    },
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Its shape.
    pub shape: Shape,
    /// Its prefix cache.
    pub cache: Cache,
    /// Blocks evicted since the last look.
    pub evicted: Vec<u64>,
    running: Vec<Sequence>,
    waiting: VecDeque<Request>,
}

impl Engine {
    /// Returns an idle engine.
    pub fn new(shape: Shape) -> Self {
        let cache = Cache::new(shape.blocks);
        let evicted = Vec::new();
        Self { shape, cache, evicted, running: Vec::new(), waiting: VecDeque::new() }
    }

    /// Takes a request into the engine's own queue, in which questions go before dossiers.
    pub fn push(&mut self, request: Request) {
        let later = |r: &Request| request.urgent && !r.urgent;
        let place = self.waiting.iter().position(later).unwrap_or(self.waiting.len());
        self.waiting.insert(place, request);
    }

    /// Sequences in the batch.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Requests in the engine's own queue.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Runs one iteration; returns its duration, the sequences that got a token, and the outputs.
    /// `None` if there is nothing to do.
    pub fn iterate(&mut self) -> Option<(Duration, u32, Vec<Output>)> {
        self.fill();
        if self.running.is_empty() {
            return None;
        }
        let tokens = self.prefill();
        let mut outputs = Vec::new();
        let decoding = self.decode(&mut outputs);
        let shape = &self.shape;
        let time = shape.base + shape.per_sequence * decoding + shape.per_token * tokens;
        Some((time, decoding, outputs))
    }

    fn fill(&mut self) {
        while self.running.len() < self.shape.slots as usize {
            let Some(request) = self.waiting.pop_front() else { return };
            let blocks = self.cache.hits(&request.prefix) as u32;
            let cached = (blocks * agate_route::prefix::BLOCK_TOKENS).min(request.prompt - 1);
            let prefill = if request.imported { 0 } else { request.prompt - cached };
            let output = request.output;
            self.running.push(Sequence { request, prefill, output, cached });
        }
    }

    /// Spends the prefill tokens of one iteration; returns how many.
    fn prefill(&mut self) -> u32 {
        let mut order: Vec<_> = (0..self.running.len()).collect();
        order.retain(|i| self.running[*i].prefill > 0);
        order.sort_by_key(|i| (!self.running[*i].request.urgent, *i));
        let mut left = self.shape.chunk;
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
        self.shape.chunk - left
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
