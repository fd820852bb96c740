//! The platform API's configuration, as the platform writes it for each replica: JSON, named by `LB_CONFIG`.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use crate::config::error::{ConfigError, PlatformConfigError};
use crate::config::pool::{default_connect_timeout_ms, default_idle_close_ms, pool_limits};
use crate::config::settings::{NamedSettings, SettingNames, settings_from};
use crate::discovery::endpoint_list::EndpointList;
use crate::scheduler::Settings;
use crate::upstream::connection_pool::PoolLimits;

/// Most sockets that are used, whatever the configuration allows.
const MAX_SOCKETS: usize = 16_384;
/// Most memory that is used, in mebibytes, whatever the configuration allows.
const MAX_MEMORY_MB: usize = 4_096;
/// Share of the sockets for connections to endpoints. What both shares leave is for discovery, logs and the
/// runtime.
const ENDPOINT_SOCKETS_PERCENT: usize = 42;
/// Share of the sockets for connections from clients.
const CLIENT_SOCKETS_PERCENT: usize = 44;
/// Share of the memory for request bodies.
const BODY_MEMORY_PERCENT: usize = 30;
/// Least amount of any resource, however small its limit.
const MIN_SHARE: usize = 8;

/// The platform API's configuration.
pub struct PlatformConfig {
    /// This replica's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Seed of all that is random, different for each replica.
    pub seed: u64,
    /// The last known list of endpoints, which may be old.
    pub known_endpoints: Option<EndpointList>,
    /// The scheduler's settings.
    pub settings: Settings,
    /// The names that the settings gave to zones, kinds, classes and tenants.
    pub names: SettingNames,
    /// How connections to endpoints are kept.
    pub pool: PoolLimits,
    /// Most connections from clients at once.
    pub max_clients: usize,
    /// Most bytes of request bodies held at once.
    pub max_body_bytes: usize,
}

/// The file. Error messages show the names of the types that make it up.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(rename = "known")]
    known_endpoints: Option<EndpointList>,
    settings: Value,
}

/// What the process may use of its machine.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1_024 }
    }
}

/// The part of the settings that concerns connections, not decisions.
#[derive(Deserialize)]
struct NodeSettings {
    limits: NodeLimits,
}

#[derive(Deserialize)]
struct NodeLimits {
    #[serde(rename = "connectTimeout", default = "default_connect_timeout_ms")]
    connect_timeout_ms: f64,
    #[serde(rename = "idleClose", default = "default_idle_close_ms")]
    idle_close_ms: f64,
}

impl PlatformConfig {
    /// Reads the configuration file.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text =
            std::fs::read(path).map_err(|source| ConfigError::Read { path: path.to_owned(), source })?;
        Self::parse(&text).map_err(|source| ConfigError::Platform { path: path.to_owned(), source })
    }

    /// Leaves so many sockets to another API of the same process: the limit is for the entire process.
    /// Clients and endpoints give up half of them each.
    pub fn reserve_sockets(&mut self, sockets: usize) {
        let half = sockets.div_ceil(2);
        self.max_clients = self.max_clients.saturating_sub(half).max(MIN_SHARE);
        self.pool.max_connections = self.pool.max_connections.saturating_sub(half).max(MIN_SHARE);
    }

    fn parse(text: &[u8]) -> Result<Self, PlatformConfigError> {
        let file: File = serde_json::from_slice(text)?;
        let connections =
            NodeSettings::deserialize(&file.settings).map_err(PlatformConfigError::ProcessSettings)?.limits;
        let NamedSettings { settings, names } = settings_from(file.settings)
            .map_err(|error| PlatformConfigError::SchedulerSettings(error.into()))?;
        let seed = parse_seed(&file.seed)?;
        let sockets = file.limits.sockets.min(MAX_SOCKETS);
        let memory_bytes = file.limits.memory_mb.min(MAX_MEMORY_MB) * 1024 * 1024;
        Ok(PlatformConfig {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            known_endpoints: file.known_endpoints,
            settings,
            names,
            pool: pool_limits(
                connections.connect_timeout_ms,
                connections.idle_close_ms,
                share(sockets, ENDPOINT_SOCKETS_PERCENT),
            ),
            max_clients: share(sockets, CLIENT_SOCKETS_PERCENT),
            max_body_bytes: share(memory_bytes, BODY_MEMORY_PERCENT),
        })
    }
}

fn parse_seed(seed: &str) -> Result<u64, PlatformConfigError> {
    u64::from_str_radix(seed, 16)
        .map_err(|source| PlatformConfigError::Seed { seed: seed.to_owned(), source })
}

/// A share of a limited resource.
fn share(limit: usize, percent: usize) -> usize {
    (limit * percent / 100).max(MIN_SHARE)
}
