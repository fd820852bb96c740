//! Startup of the chat API: routing, the fixed endpoints and finally the listener.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use inference_router::config::{ChatConfig, TlsSettings};
use inference_router::memory_monitor::MemoryMonitor;
use inference_router::metrics::Counters;
use inference_router::routing_context::RoutingContext;
use inference_router::scheduler::{EndpointId, EndpointUpdate, Role};
use inference_router::server::chat_api::ChatApi;
use inference_router::server::connection_limits::ConnectionLimiter;
use inference_router::server::serve;
use inference_router::server::spiffe::IdentityVerifier;
use inference_router::upstream::connection_pool::{ConnectionPool, EndpointAddress};
use inference_router::upstream::exchange::{Upstream, UpstreamProtocol};
use tokio::task::spawn_local;

use super::retry::{listen, read_config};
use super::routing::Routing;
use super::{ProcessContext, RunningApi, StartError};

/// The chat configuration and the verifier of client identities, if clients must authenticate.
pub(super) struct LoadedChatConfig {
    config: ChatConfig,
    identities: Option<IdentityVerifier>,
}

impl LoadedChatConfig {
    /// Returns the maximum number of sockets that the chat API uses.
    pub(super) fn max_sockets(&self) -> usize {
        self.config.max_client_connections + self.config.pool.max_connections
    }
}

/// Reads the chat configuration and the TLS files that it references.
pub(super) async fn read_chat_config(path: &Path) -> Result<LoadedChatConfig, StartError> {
    let mut config = read_config(|| ChatConfig::read(path)).await?;
    let identities = match config.tls.take() {
        Some(tls) => Some(read_identities(tls, path)?),
        None => None,
    };
    Ok(LoadedChatConfig { config, identities })
}

fn read_identities(tls: TlsSettings, config_path: &Path) -> Result<IdentityVerifier, StartError> {
    let base = config_path.parent().unwrap_or(Path::new(""));
    IdentityVerifier::read(tls, base)
        .map_err(|source| StartError::Identity { path: config_path.to_owned(), source })
}

/// Starts the chat API: routing, the fixed endpoints and finally the listener.
pub(super) async fn start_chat_api(
    loaded: LoadedChatConfig, process: &ProcessContext,
) -> Result<RunningApi, StartError> {
    let LoadedChatConfig { mut config, identities } = loaded;
    let seed = process.clock.now() as u64 ^ (u64::from(std::process::id()) << 48);
    let counters = Rc::new(Counters::default());
    let pool = Rc::new(ConnectionPool::new(config.pool.clone(), counters.clone()));
    let protocol = UpstreamProtocol::Chat(std::mem::take(&mut config.endpoint_headers));
    let upstream = Upstream::new(pool, protocol, counters.clone(), Duration::ZERO);
    let context =
        Routing::start(&config.settings, seed, process.clock, upstream, counters.clone()).spawn_fleet_tasks();
    add_fixed_endpoints(&config, &context);

    let limiter = ConnectionLimiter::new(config.max_client_connections, config.max_client_memory);
    spawn_local(MemoryMonitor::new("chat", limiter.clone(), None).run());
    let address = config.listen;
    let shutdown = process.shutdown.clone();
    let api = ChatApi::new(context, Rc::new(config), limiter.clone(), shutdown.clone(), seed);
    let listener = listen(address).await?;
    spawn_local(serve(listener, identities, limiter, shutdown, move |peer| api.for_peer(peer)));
    tracing::info!(api = "chat", %address, "listening");
    Ok(RunningApi { name: "chat", counters })
}

/// Registers the endpoints of the chat configuration, all of them ready.
fn add_fixed_endpoints(config: &ChatConfig, context: &RoutingContext) {
    let mut updates = Vec::new();
    for (index, endpoint) in config.endpoints.iter().enumerate() {
        let id = EndpointId(index as u32);
        let address = EndpointAddress { addr: endpoint.address, role: Role::Mixed, ready: true };
        context.upstream.pool().set_address(id, Some(address));
        updates.push(EndpointUpdate { endpoint: id, ..EndpointUpdate::default() });
    }
    context.scheduler.report_endpoints(true, updates);
}
