//! Configuration of the platform API: a JSON file that the platform writes for each replica, named by
//! `LB_CONFIG`.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use crate::config::error::{ConfigError, PlatformConfigError};
use crate::config::pool::{default_connect_timeout_ms, default_idle_close_ms, pool_limits};
use crate::config::settings::{NamedSettings, SettingNames, parse_settings};
use crate::discovery::endpoint_list::EndpointList;
use crate::scheduler::Settings;
use crate::server::CONNECTION_MEMORY;
use crate::upstream::connection_pool::PoolLimits;

/// Upper limit for sockets, regardless of the configuration.
const MAX_SOCKETS: usize = 16_384;
/// Upper limit for memory in mebibytes, regardless of the configuration.
const MAX_MEMORY_MB: usize = 4_096;
/// Percentage of the sockets used for endpoint connections. The remainder after client connections is left
/// for discovery, logs and the runtime.
const ENDPOINT_SOCKETS_PERCENT: usize = 42;
/// Percentage of the sockets used for client connections.
const CLIENT_SOCKETS_PERCENT: usize = 44;
/// Percentage of the memory that clients may fill: with connections, heads, bodies and answers. The remainder is
/// for the endpoints, the scheduler and what the allocator does not reuse.
const CLIENT_MEMORY_PERCENT: usize = 65;
/// Part of the memory for clients that connections may use before their first request.
const CONNECTION_MEMORY_PERCENT: usize = 50;
/// Minimum of each limit derived from a percentage, however small the resource is.
const MIN_LIMIT: usize = 8;

/// Validated configuration of the platform API.
pub struct PlatformConfig {
    /// Name of this replica.
    pub name: String,
    /// Address to accept client connections on.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed for all pseudo-random decisions, different for each replica.
    pub seed: u64,
    /// Initial endpoint list, which may be outdated.
    pub known_endpoints: Option<EndpointList>,
    /// Scheduler settings.
    pub settings: Settings,
    /// Names of the zones, kinds, classes and tenants in the settings.
    pub names: SettingNames,
    /// Limits of the connection pool to the endpoints.
    pub pool: PoolLimits,
    /// Maximum number of concurrent client connections.
    pub max_client_connections: usize,
    /// Maximum memory of client connections with their requests, in bytes.
    pub max_client_memory: usize,
    /// Limit of the memory of the process, in bytes, over which the platform kills it.
    pub memory_limit: usize,
}

/// The file format. The names of its types appear in error messages.
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

/// Resources of the machine that the process may use.
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

/// The part of the settings that configures connections rather than scheduling.
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
    /// Reads and validates the configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text =
            std::fs::read(path).map_err(|source| ConfigError::Read { path: path.to_owned(), source })?;
        Self::parse(&text).map_err(|source| ConfigError::Platform { path: path.to_owned(), source })
    }

    /// Reserves sockets for another API of the same process, as the limit applies to the whole process. Half
    /// of them are taken from the client connections and half from the endpoint connections.
    pub fn reserve_sockets(&mut self, sockets: usize) {
        let half = sockets.div_ceil(2);
        self.max_client_connections = self.max_client_connections.saturating_sub(half).max(MIN_LIMIT);
        self.pool.max_connections = self.pool.max_connections.saturating_sub(half).max(MIN_LIMIT);
    }

    fn parse(text: &[u8]) -> Result<Self, PlatformConfigError> {
        let file: File = serde_json::from_slice(text)?;
        let connection_limits =
            NodeSettings::deserialize(&file.settings).map_err(PlatformConfigError::ProcessSettings)?.limits;
        let NamedSettings { settings, names } = parse_settings(file.settings)
            .map_err(|error| PlatformConfigError::SchedulerSettings(error.into()))?;
        let seed = parse_seed(&file.seed)?;
        let sockets = file.limits.sockets.min(MAX_SOCKETS);
        let memory_bytes = file.limits.memory_mb.min(MAX_MEMORY_MB) * 1024 * 1024;
        let max_client_memory = percent_of(memory_bytes, CLIENT_MEMORY_PERCENT);
        Ok(PlatformConfig {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            known_endpoints: file.known_endpoints,
            settings,
            names,
            pool: pool_limits(
                connection_limits.connect_timeout_ms,
                connection_limits.idle_close_ms,
                percent_of(sockets, ENDPOINT_SOCKETS_PERCENT),
            ),
            max_client_connections: max_client_connections(sockets, max_client_memory),
            memory_limit: memory_bytes,
            max_client_memory,
        })
    }
}

/// Returns how many client connections the descriptors and the memory allow.
fn max_client_connections(sockets: usize, max_client_memory: usize) -> usize {
    let by_memory = percent_of(max_client_memory, CONNECTION_MEMORY_PERCENT) / CONNECTION_MEMORY;
    percent_of(sockets, CLIENT_SOCKETS_PERCENT).min(by_memory).max(MIN_LIMIT)
}

fn parse_seed(seed: &str) -> Result<u64, PlatformConfigError> {
    u64::from_str_radix(seed, 16)
        .map_err(|source| PlatformConfigError::Seed { seed: seed.to_owned(), source })
}

/// Returns a percentage of a resource limit, but at least [`MIN_LIMIT`].
fn percent_of(limit: usize, percent: usize) -> usize {
    (limit * percent / 100).max(MIN_LIMIT)
}
