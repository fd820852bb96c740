//! Parses the parts of a chat completion request that routing depends on, and derives the input of the
//! scheduler.

use serde::Deserialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::error::ChatError;
use crate::config::ChatConfig;
use crate::scheduler::{CacheKey, Micros, RequestSpec};

/// Approximate number of characters per token in common tokenizers. The router has no tokenizer of its own.
const CHARACTERS_PER_TOKEN: f64 = 4.0;
/// Maximum number of output tokens that a request may ask for. Far above the limit of any model; prevents
/// overflow in time estimates.
pub(super) const MAX_TOKENS_PER_REQUEST: u32 = 1 << 20;
/// Multiple of the inter-token objective within which a unary response must be generated before its client
/// gives up.
const UNARY_INTER_TOKEN_FACTOR: Micros = 2;
/// Number of leading messages that identify a conversation. They stay the same from turn to turn.
const SESSION_KEY_MESSAGES: usize = 2;

/// A chat completion request. Error messages for malformed bodies show the names of these types to clients.
#[derive(Deserialize)]
pub(super) struct Completion {
    model: String,
    messages: Vec<Message>,
    stream: Option<bool>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    prompt_cache_key: Option<String>,
}

#[derive(Deserialize)]
struct Message {
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    text: Option<String>,
}

impl Message {
    /// Returns the text parts. Parts without text, such as images, are ignored.
    fn texts(&self) -> Vec<&str> {
        match &self.content {
            None => Vec::new(),
            Some(Content::Text(text)) => vec![text],
            Some(Content::Parts(parts)) => parts.iter().filter_map(|part| part.text.as_deref()).collect(),
        }
    }

    /// Returns the length of the text in characters.
    fn char_count(&self) -> usize {
        self.texts().iter().map(|text| text.chars().count()).sum()
    }

    /// Chains the hash of the text onto `seed`.
    fn hash(&self, seed: u64) -> u64 {
        self.texts().iter().fold(seed, |hash, text| xxh3_64_with_seed(text.as_bytes(), hash))
    }
}

impl Completion {
    /// Derives the input of the scheduler.
    ///
    /// # Errors
    ///
    /// Returns an error if the model is unknown, there are no messages, or the number of tokens is out of
    /// range.
    pub(super) fn to_spec(&self, config: &ChatConfig) -> Result<RequestSpec, ChatError> {
        let Some(class) = config.models.get(&self.model).copied() else {
            return Err(ChatError::UnknownModel(self.model.clone()));
        };
        let Some(first_message) = self.messages.first() else {
            return Err(ChatError::NoMessages);
        };
        let requested_tokens = self.max_completion_tokens.or(self.max_tokens);
        let max_tokens = requested_tokens.unwrap_or(config.default_max_tokens);
        if !(1..=MAX_TOKENS_PER_REQUEST).contains(&max_tokens) {
            return Err(ChatError::MaxTokensOutOfRange);
        }
        let mut spec = RequestSpec {
            class,
            session: Some(self.session()),
            prompt_tokens: estimate_tokens(self.messages.iter().map(Message::char_count).sum()),
            max_output_tokens: f64::from(max_tokens),
            client_timeout: config.settings.classes[class.0].deadline,
            unary: self.stream != Some(true),
            ..RequestSpec::default()
        };
        // The first message, usually the system prompt, is shared with other conversations.
        if self.messages.len() > 1 {
            spec.prefix = Some(CacheKey(first_message.hash(0)));
            spec.prefix_tokens = estimate_tokens(first_message.char_count());
        }
        if spec.unary {
            // A unary response arrives with its last token instead of its first, so generation time is added.
            let inter_token_objective = config.settings.classes[class.0].inter_token_objective;
            let max_inter_token_time = inter_token_objective * UNARY_INTER_TOKEN_FACTOR;
            let generation_time = Micros::from(max_tokens).saturating_mul(max_inter_token_time);
            spec.client_timeout = spec.client_timeout.saturating_add(generation_time);
        }
        Ok(spec)
    }

    /// Returns the session key: the one sent by the client, or a hash of the first messages.
    fn session(&self) -> CacheKey {
        match &self.prompt_cache_key {
            Some(key) => CacheKey(xxh3_64(key.as_bytes())),
            None => {
                let messages = self.messages.iter().take(SESSION_KEY_MESSAGES);
                CacheKey(messages.fold(0, |hash, message| message.hash(hash)))
            }
        }
    }
}

/// Estimates the number of tokens in a text of this length.
fn estimate_tokens(char_count: usize) -> f64 {
    (char_count as f64 / CHARACTERS_PER_TOKEN).max(1.0)
}
