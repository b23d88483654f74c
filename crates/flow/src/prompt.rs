//! What a model request asks for.

use {
    crate::reply::{Refused, Result},
    agate_core::Refusal,
    agate_link::truth::Untouched,
    bytes::Bytes,
    serde::Deserialize,
    serde_json::{Map, Value},
};

/// Bytes of prompt text that count as one token in estimates.
const TOKEN_BYTES: usize = 4;
/// Output tokens assumed when the request names no bound.
const DEFAULT_OUTPUT: u32 = 256;

/// A parsed model request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Model named in the body.
    pub model: String,
    /// Text of all messages, in order.
    pub text: String,
    /// Most tokens to generate.
    pub output: u32,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// The body as an object, sent on with the fields this system sets replaced.
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

/// Content of a message: a text, or parts of which those with text count.
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
pub fn parse(body: &Bytes, proof: Untouched) -> Result<(Ask, Untouched)> {
    match read(body) {
        Ok(ask) => Ok((ask, proof)),
        Err(e) => {
            let text = format!("the body is not a model request: {e}");
            Err(Refused::not_run(Refusal::BodyMalformed, text, proof))
        }
    }
}

fn read(body: &Bytes) -> serde_json::Result<Ask> {
    let fields: Map<String, Value> = serde_json::from_slice(body)?;
    let known: Fields = serde_json::from_slice(body)?;
    let texts = known.messages.into_iter().map(|m| match m.content {
        Content::Text(text) => text,
        Content::Parts(parts) => parts.into_iter().map(|p| p.text).collect(),
        Content::Null(()) => String::new(),
    });
    let text = texts.collect::<Vec<_>>().join("\n");
    let output = known.max_tokens.unwrap_or(DEFAULT_OUTPUT);
    Ok(Ask { model: known.model, text, output, stream: known.stream, fields })
}

impl Ask {
    /// Estimated length of the prompt, in tokens.
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.text.len() / TOKEN_BYTES).unwrap_or(u32::MAX).max(1)
    }

    /// Body for an engine: always a stream, continued after `delivered` tokens.
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
