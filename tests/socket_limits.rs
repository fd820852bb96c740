//! The limit on sockets, and that removed endpoints leave nothing behind.

mod common;

use common::config_files::{chat_config, loopback_address, platform_config};
use inference_router::config::{ChatConfig, PlatformConfig};
use inference_router::scheduler::{EndpointId, Role};
use inference_router::upstream::connection_pool::{ConnectionPool, EndpointAddress};

#[test]
fn both_apis_together_stay_under_the_limit_on_sockets() {
    let base = loopback_address();
    let mut platform = PlatformConfig::read(&platform_config(&base)).expect("a good configuration");
    let chat = ChatConfig::read(&chat_config(&base, &["s1"], "")).expect("a good operator's file");
    let chat_sockets = chat.max_clients + chat.pool.max_connections;
    let platform_sockets = |config: &PlatformConfig| config.max_clients + config.pool.max_connections;
    // The others are for discovery, the connections that are only rejected, the listeners and the runtime.
    assert!(platform_sockets(&platform) <= 900, "{}", platform_sockets(&platform));
    platform.reserve_sockets(chat_sockets);
    assert!(
        platform_sockets(&platform) + chat_sockets <= 900,
        "{} and {chat_sockets}",
        platform_sockets(&platform)
    );
}

#[test]
fn nothing_is_kept_of_a_removed_endpoint() {
    let platform = PlatformConfig::read(&platform_config(&loopback_address())).expect("a good configuration");
    let pool = ConnectionPool::new(platform.pool, Default::default());
    let addr = platform.listen;
    pool.set_address(EndpointId(7), Some(EndpointAddress { addr, role: Role::Prefill, ready: true }));
    assert_eq!(pool.endpoints(), [EndpointId(7)]);
    pool.set_address(EndpointId(7), None);
    assert!(pool.endpoints().is_empty());
}
