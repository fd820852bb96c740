//! Configuration of the chat API: a TOML file written by the operator and passed with `--chat`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde::Deserialize;

use crate::config::error::{ChatConfigError, ConfigError};
use crate::config::pool::{default_connect_timeout_ms, default_idle_close_ms, pool_limits};
use crate::config::tls::TlsSettings;
use crate::scheduler::{
    Capabilities, ClassId, EndpointKind, Idempotency, Micros, RequestClass, Role, Settings,
};
use crate::server::{CONNECTION_MEMORY, REQUEST_MEMORY};
use crate::upstream::connection_pool::PoolLimits;

/// Upper limit for client connections and for endpoint connections, regardless of the file.
const MAX_CONNECTIONS: usize = 4_096;
/// Maximum total size of buffered request bodies, in bytes.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;
/// Maximum value of a duration setting, in milliseconds (one day).
const MAX_DURATION_MS: f64 = 86_400_000.0;

/// Validated configuration of the chat API.
pub struct ChatConfig {
    /// Address to accept client connections on.
    pub listen: SocketAddr,
    /// The endpoints, which are fixed for the lifetime of the process.
    pub endpoints: Vec<ChatEndpoint>,
    /// Request class of each model, keyed by model name.
    pub models: BTreeMap<String, ClassId>,
    /// Scheduler settings.
    pub settings: Settings,
    /// Maximum number of generated tokens for requests that set no limit.
    pub default_max_tokens: u32,
    /// Headers added to every request sent to an endpoint.
    pub endpoint_headers: HeaderMap,
    /// Limits of the connection pool to the endpoints.
    pub pool: PoolLimits,
    /// Maximum number of concurrent client connections.
    pub max_client_connections: usize,
    /// Maximum memory of client connections with their requests, in bytes.
    pub max_client_memory: usize,
    /// TLS settings, if clients must authenticate with a certificate.
    pub tls: Option<TlsSettings>,
}

/// An endpoint of the chat API.
#[derive(Clone, Debug)]
pub struct ChatEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
}

/// The file format. The names of its types and fields appear in error messages.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChatFile {
    listen: SocketAddr,
    #[serde(default = "default_max_tokens")]
    default_max_tokens: u32,
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
    #[serde(default = "default_connect_timeout_ms")]
    connect_timeout_ms: f64,
    #[serde(default = "default_idle_close_ms")]
    idle_close_ms: f64,
    #[serde(default = "default_retry_after_ms")]
    retry_after_ms: f64,
    #[serde(default = "default_connections")]
    client_connections: usize,
    #[serde(rename = "server_connections", default = "default_connections")]
    endpoint_connections: usize,
    #[serde(rename = "servers")]
    endpoints: Vec<ChatServer>,
    classes: Vec<ChatClass>,
    models: BTreeMap<String, String>,
    #[serde(rename = "server_headers", default)]
    endpoint_headers: BTreeMap<String, String>,
    tls: Option<TlsSettings>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChatServer {
    name: String,
    address: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChatClass {
    name: String,
    #[serde(rename = "effect")]
    idempotency: ChatEffect,
    first_token_ms: f64,
    #[serde(default)]
    first_token_ms_per_1000: f64,
    deadline_ms: f64,
    token_ms: f64,
    #[serde(rename = "worth", default = "default_priority_weight")]
    priority_weight: f64,
}

#[derive(Deserialize)]
enum ChatEffect {
    #[serde(rename = "safe")]
    Idempotent,
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

fn default_max_tokens() -> u32 {
    800
}

fn default_max_attempts() -> u32 {
    4
}

fn default_retry_after_ms() -> f64 {
    2_000.0
}

fn default_connections() -> usize {
    128
}

fn default_priority_weight() -> f64 {
    1.0
}

impl ChatConfig {
    /// Reads and validates the configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Read { path: path.to_owned(), source })?;
        Self::parse(&text).map_err(|source| ConfigError::Chat { path: path.to_owned(), source })
    }

    fn parse(text: &str) -> Result<Self, ChatConfigError> {
        let file: ChatFile = toml::from_str(text)?;
        file.validate()?;
        let classes = file.classes.iter().map(ChatClass::request_class).collect::<Result<Vec<_>, _>>()?;
        let models = file.class_by_model()?;
        let endpoint_headers = file.header_map()?;
        let settings = file.settings(classes)?;
        let max_client_connections = file.client_connections.clamp(1, MAX_CONNECTIONS);
        Ok(ChatConfig {
            listen: file.listen,
            endpoints: file.endpoints.into_iter().map(ChatEndpoint::from).collect(),
            models,
            settings,
            default_max_tokens: file.default_max_tokens,
            endpoint_headers,
            pool: pool_limits(
                file.connect_timeout_ms,
                file.idle_close_ms,
                file.endpoint_connections.clamp(1, MAX_CONNECTIONS),
            ),
            max_client_connections,
            max_client_memory: MAX_BODY_BYTES + max_client_connections * (CONNECTION_MEMORY + REQUEST_MEMORY),
            tls: file.tls,
        })
    }
}

impl From<ChatServer> for ChatEndpoint {
    fn from(endpoint: ChatServer) -> Self {
        ChatEndpoint { name: endpoint.name, address: endpoint.address }
    }
}

impl ChatFile {
    /// Validates what deserialization alone does not check.
    fn validate(&self) -> Result<(), ChatConfigError> {
        if self.endpoints.is_empty() {
            return Err(ChatConfigError::NoEndpoints);
        }
        if self.models.is_empty() {
            return Err(ChatConfigError::NoModels);
        }
        if !(1..=100).contains(&self.max_attempts) {
            return Err(ChatConfigError::MaxAttempts);
        }
        Ok(())
    }

    fn class_by_model(&self) -> Result<BTreeMap<String, ClassId>, ChatConfigError> {
        let mut by_model = BTreeMap::new();
        for (model, class) in &self.models {
            let index = self.classes.iter().position(|known| known.name == *class).ok_or_else(|| {
                ChatConfigError::UnknownClass { model: model.clone(), class: class.clone() }
            })?;
            by_model.insert(model.clone(), ClassId(index));
        }
        Ok(by_model)
    }

    fn header_map(&self) -> Result<HeaderMap, ChatConfigError> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.endpoint_headers {
            let (Ok(header_name), Ok(header_value)) =
                (HeaderName::from_bytes(name.as_bytes()), HeaderValue::from_str(value))
            else {
                return Err(ChatConfigError::InvalidHeader { name: name.clone() });
            };
            headers.insert(header_name, header_value);
        }
        Ok(headers)
    }

    /// Builds the scheduler settings for a single router whose endpoints do both prefill and decode.
    fn settings(&self, classes: Vec<RequestClass>) -> Result<Settings, ChatConfigError> {
        Ok(Settings {
            replicas: 1,
            kinds: vec![EndpointKind { role: Role::Mixed, memory_tokens: None }],
            classes,
            capabilities: Capabilities {
                cancellation: true,
                max_attempts: self.max_attempts,
                max_retry_after: Some(duration_micros(self.retry_after_ms, || "retry_after_ms".to_owned())?),
                ..Capabilities::default()
            },
            ..Settings::default()
        })
    }
}

impl ChatClass {
    fn request_class(&self) -> Result<RequestClass, ChatConfigError> {
        let duration = |milliseconds: f64, key: &str| {
            duration_micros(milliseconds, || format!("class \"{}\": {key}", self.name))
        };
        Ok(RequestClass {
            first_token_objective: duration(self.first_token_ms, "first_token_ms")?,
            objective_per_1000_prompt_tokens: duration(
                self.first_token_ms_per_1000,
                "first_token_ms_per_1000",
            )?,
            deadline: duration(self.deadline_ms, "deadline_ms")?,
            inter_token_objective: duration(self.token_ms, "token_ms")?.max(1),
            priority_weight: self.priority_weight,
            late_weight: 0.0,
            idempotency: match self.idempotency {
                ChatEffect::Idempotent => Idempotency::Idempotent,
                ChatEffect::NonIdempotent => Idempotency::NonIdempotent,
            },
        })
    }
}

/// Converts a duration from the file to microseconds. `setting` names the setting in the error message.
fn duration_micros(milliseconds: f64, setting: impl FnOnce() -> String) -> Result<Micros, ChatConfigError> {
    if !(0.0..=MAX_DURATION_MS).contains(&milliseconds) {
        return Err(ChatConfigError::DurationOutOfRange { setting: setting(), milliseconds });
    }
    Ok((milliseconds * 1_000.0) as Micros)
}
