//! Parsing of model requests.

use {
    crate::refusal::{Refused, Result},
    agate_core::Refusal,
    agate_quarantine::{Property, Work, hash_parts},
    agate_transport::proof::NotRunProof,
    bytes::Bytes,
    serde::Deserialize,
    serde_json::{Map, Value},
};

/// Bytes of prompt text per token, for estimates.
const BYTES_PER_TOKEN: usize = 4;
/// Key derivation context of the hashes of messages.
const MESSAGE_CONTEXT: &str = "agatetrack shared messages";
/// Most output tokens of a request that sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// A parsed model request.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// Name of the model.
    pub model: String,
    /// Text of all messages, in order, separated by line breaks.
    pub text: String,
    /// Most output tokens to generate.
    pub output: u32,
    /// Whether the caller wants a stream of events.
    pub stream: bool,
    /// The body as a JSON object. It is sent to the engine with the fields that this system sets
    /// replaced.
    pub fields: Map<String, Value>,
}

#[derive(Deserialize)]
struct Fields {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: Content,
}

/// Content of a message: a text, or a list of parts. Parts without text are ignored.
#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
    Null(()),
}

impl Default for Content {
    fn default() -> Self {
        Content::Null(())
    }
}

#[derive(Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

/// Parses the body of a model request.
///
/// Errors: `BodyMalformed` if it is not a JSON object with the required fields.
pub fn parse(body: &Bytes, proof: NotRunProof) -> Result<(ModelRequest, NotRunProof)> {
    match read(body) {
        Ok(ask) => Ok((ask, proof)),
        Err(e) => {
            let text = format!("the body is not a model request: {e}");
            Err(Refused::not_run(Refusal::BodyMalformed, text, proof))
        }
    }
}

fn read(body: &Bytes) -> serde_json::Result<ModelRequest> {
    let fields: Map<String, Value> = serde_json::from_slice(body)?;
    let known: Fields = serde_json::from_slice(body)?;
    let texts = known.messages.into_iter().map(|m| match m.content {
        Content::Text(text) => text,
        Content::Parts(parts) => parts.into_iter().map(|p| p.text).collect(),
        Content::Null(()) => String::new(),
    });
    let text = texts.collect::<Vec<_>>().join("\n");
    let output = known.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    Ok(ModelRequest { model: known.model, text, output, stream: known.stream, fields })
}

/// Properties of a model request by which the quarantine recognises requests that share messages: one
/// for each message but the last. Empty if the body is no model request.
pub fn shared_messages(body: &[u8]) -> Vec<Property> {
    #[derive(Deserialize)]
    struct Shared {
        model: String,
        messages: Vec<Value>,
    }
    let Ok(Shared { model, messages }) = serde_json::from_slice(body) else { return Vec::new() };
    let Some((_, shared)) = messages.split_last() else { return Vec::new() };
    let hash = |message: &Value| {
        let text = serde_json::to_vec(message).expect("a JSON value serialises");
        let hash = hash_parts(blake3::Hasher::new_derive_key(MESSAGE_CONTEXT), [&text]);
        u64::from_le_bytes(hash[..8].try_into().expect("a hash has 32 bytes"))
    };
    Property::parts(Work::Run, &model, shared.iter().map(hash)).collect()
}

impl ModelRequest {
    /// Estimated length of the prompt, in tokens; at least one.
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX).max(1)
    }

    /// Builds the body for an engine. It always asks for a stream, which continues after
    /// `delivered` tokens.
    pub fn for_engine(&self, delivered: u32) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("stream".into(), Value::Bool(true));
        fields.insert("max_tokens".into(), self.output.into());
        fields.remove("resume_from");
        if delivered > 0 {
            fields.insert("resume_from".into(), delivered.into());
        }
        Bytes::from(serde_json::to_vec(&fields).expect("a JSON object serialises"))
    }
}
