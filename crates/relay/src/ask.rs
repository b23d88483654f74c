//! What a request says about itself, apart from the interface that it is spoken in.

use {agate_route::ranking::mix, std::time::Duration};

/// Identifier of a part of a prompt.
pub type PartId = u64;

/// One part of a prompt; requests that begin with the same parts share their cached memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its identifier.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The work that a request asks of a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input: u32,
    /// Most tokens of the answer.
    pub output: u32,
    /// Parts of the prompt in order; the last one belongs to this request or its session alone.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Tokens that other requests share.
    pub fn shared(&self) -> u32 {
        let own = self.parts.last().map_or(self.input, |p| p.tokens);
        self.input.saturating_sub(own)
    }

    /// Identifier of the shared beginning, if there is one.
    pub fn subject(&self) -> Option<u64> {
        let (_, shared) = self.parts.split_last()?;
        shared.iter().map(|p| p.id).reduce(mix)
    }
}

/// What a request's head says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Identifier of the request; empty if it has none.
    pub id: String,
    /// Key of the caller.
    pub key: Option<String>,
    /// Time that the caller will wait.
    pub wait: Option<Duration>,
    /// Event behind which a stream shall go on.
    pub resume: Option<String>,
    /// The work asked of a model engine.
    pub prompt: Option<Prompt>,
}
