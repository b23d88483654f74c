//! Metadata of a request, independent of the wire protocol.

use {agate_route::ranking::mix, std::time::Duration};

/// Identifier of a part of a prompt, equal for equal parts.
pub type PartId = u64;

/// One part of a prompt; requests whose prompts begin with the same parts share KV cache blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifier of its content.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Prompt and output size of a request to a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the prompt in tokens.
    pub input: u32,
    /// Maximum length of the output in tokens.
    pub output: u32,
    /// Parts of the prompt in order; the last one is specific to this request or its session.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Number of tokens in all parts but the last, which other requests may share.
    pub fn shared(&self) -> u32 {
        let own = self.parts.last().map_or(self.input, |p| p.tokens);
        self.input.saturating_sub(own)
    }

    /// All parts but the last, which other requests may share.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Identifier of the shared prefix; `None` if the prompt has fewer than two parts.
    pub fn prefix(&self) -> Option<u64> {
        self.shared_parts().iter().map(|p| p.id).reduce(mix)
    }
}

/// Metadata read from a request's headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Request identifier; empty if it has none.
    pub id: String,
    /// API key of the caller.
    pub key: Option<String>,
    /// Time that the caller waits for the response.
    pub wait: Option<Duration>,
    /// Identifier of the last event that the caller has; the stream resumes after it.
    pub resume: Option<String>,
    /// Identifier of the caller's request that brought the first event of the stream to resume.
    pub resumes: Option<String>,
    /// Prompt of a model request; `None` for plain services.
    pub prompt: Option<Prompt>,
}
