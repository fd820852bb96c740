//! The body of a chat completion request, as far as decisions need it, and what the scheduler is given of it.

use serde::Deserialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::error::ChatError;
use crate::config::ChatConfig;
use crate::scheduler::{CacheKey, Micros, RequestSpec};

/// Characters of a token, about, in the usual tokenizers; the router has none of its own.
const CHARACTERS_PER_TOKEN: f64 = 4.0;
/// Most tokens that a request may ask for: far above every model's, so that estimates of time do not
/// overflow.
pub(super) const MAX_TOKENS_PER_REQUEST: u32 = 1 << 20;
/// Multiple of the inter-token objective that the writing of a unary response may take before its client
/// gives up.
const UNARY_OBJECTIVE_MULTIPLE: Micros = 2;
/// Messages that identify a conversation: its first ones stay the same from turn to turn.
const SESSION_MESSAGES: usize = 2;

/// A chat completion request. The names of this type and of its parts are in the texts of the errors that
/// clients get for malformed bodies.
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
    /// Its texts; parts without a text, such as images, count as nothing.
    fn texts(&self) -> Vec<&str> {
        match &self.content {
            None => Vec::new(),
            Some(Content::Text(text)) => vec![text],
            Some(Content::Parts(parts)) => parts.iter().filter_map(|part| part.text.as_deref()).collect(),
        }
    }

    /// Its length in characters.
    fn characters(&self) -> usize {
        self.texts().iter().map(|text| text.chars().count()).sum()
    }

    /// The hash of its texts behind what `seed` is the hash of.
    fn hash(&self, seed: u64) -> u64 {
        self.texts().iter().fold(seed, |hash, text| xxh3_64_with_seed(text.as_bytes(), hash))
    }
}

impl Completion {
    /// What the scheduler decides by.
    ///
    /// # Errors
    ///
    /// The model is unknown, there are no messages, or the number of tokens is out of range.
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
            return Err(ChatError::MaxTokens);
        }
        let mut spec = RequestSpec {
            class,
            session: Some(self.session()),
            prompt_tokens: estimated_tokens(self.messages.iter().map(Message::characters).sum()),
            max_output_tokens: f64::from(max_tokens),
            client_timeout: config.settings.classes[class.0].deadline,
            unary: self.stream != Some(true),
            ..RequestSpec::default()
        };
        // The first message, mostly the system prompt, is what other conversations share.
        if self.messages.len() > 1 {
            spec.prefix = Some(CacheKey(first_message.hash(0)));
            spec.prefix_tokens = estimated_tokens(first_message.characters());
        }
        if spec.unary {
            // It arrives with its last token instead of the first, so the time to write it is added.
            let inter_token_objective = config.settings.classes[class.0].inter_token_objective;
            let slowest_token = inter_token_objective * UNARY_OBJECTIVE_MULTIPLE;
            let writing_time = Micros::from(max_tokens).saturating_mul(slowest_token);
            spec.client_timeout = spec.client_timeout.saturating_add(writing_time);
        }
        Ok(spec)
    }

    /// The key of the conversation: the client's own, or the hash of its first messages.
    fn session(&self) -> CacheKey {
        match &self.prompt_cache_key {
            Some(key) => CacheKey(xxh3_64(key.as_bytes())),
            None => {
                let messages = self.messages.iter().take(SESSION_MESSAGES);
                CacheKey(messages.fold(0, |hash, message| message.hash(hash)))
            }
        }
    }
}

/// The tokens of so many characters, about.
fn estimated_tokens(characters: usize) -> f64 {
    (characters as f64 / CHARACTERS_PER_TOKEN).max(1.0)
}
