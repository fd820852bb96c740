//! The socket limit, and cleanup of connection pool state for removed endpoints.

mod common;

use common::config_files::{chat_config, loopback_address, platform_config};
use inference_router::config::{ChatConfig, PlatformConfig};
use inference_router::scheduler::{EndpointId, Role};
use inference_router::upstream::connection_pool::{ConnectionPool, EndpointAddress};

#[test]
fn both_apis_together_stay_under_the_limit_on_sockets() {
    let base = loopback_address();
    let mut platform = PlatformConfig::read(&platform_config(&base)).expect("valid configuration");
    let chat = ChatConfig::read(&chat_config(&base, &["s1"], "")).expect("valid chat configuration");
    let chat_sockets = chat.max_client_connections + chat.pool.max_connections;
    let platform_sockets =
        |config: &PlatformConfig| config.max_client_connections + config.pool.max_connections;
    // The remainder is for discovery, connections that are only rejected, the listeners and the runtime.
    assert!(platform_sockets(&platform) <= 900, "{}", platform_sockets(&platform));
    platform.reserve_sockets(chat_sockets);
    assert!(
        platform_sockets(&platform) + chat_sockets <= 900,
        "platform API {}, chat API {chat_sockets}",
        platform_sockets(&platform)
    );
}

#[test]
fn a_removed_endpoint_is_dropped_from_the_pool() {
    let platform = PlatformConfig::read(&platform_config(&loopback_address())).expect("valid configuration");
    let pool = ConnectionPool::new(platform.pool, Default::default());
    let addr = platform.listen;
    pool.set_address(EndpointId(7), Some(EndpointAddress { addr, role: Role::Prefill, ready: true }));
    assert_eq!(pool.endpoints(), [EndpointId(7)]);
    pool.set_address(EndpointId(7), None);
    assert!(pool.endpoints().is_empty());
}
