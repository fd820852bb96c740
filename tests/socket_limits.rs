//! What the program may use of its machine.

mod common;

use common::program;
use inference_router::config::{ChatConfig, PlatformConfig};
use inference_router::scheduler::{EndpointId, Role};
use inference_router::upstream::connection_pool::{ConnectionPool, EndpointAddress};

#[test]
fn both_fronts_together_stay_under_the_limit_on_sockets() {
    let base = program::address();
    let mut platform = PlatformConfig::read(&program::platform(&base)).expect("a good configuration");
    let chat = ChatConfig::read(&program::chat(&base, &["s1"], "")).expect("a good operator's file");
    let of_chat = chat.max_clients + chat.pool.max_connections;
    let of_platform = |p: &PlatformConfig| p.max_clients + p.pool.max_connections;
    // The rest is for discovery, the connections that are only turned away, the listeners and the runtime.
    assert!(of_platform(&platform) <= 900, "{}", of_platform(&platform));
    platform.reserve_sockets(of_chat);
    assert!(of_platform(&platform) + of_chat <= 900, "{} and {of_chat}", of_platform(&platform));
}

#[test]
fn nothing_is_kept_of_an_instance_that_is_gone() {
    let platform =
        PlatformConfig::read(&program::platform(&program::address())).expect("a good configuration");
    let pool = ConnectionPool::new(platform.pool, Default::default());
    let addr = platform.listen;
    pool.set_address(EndpointId(7), Some(EndpointAddress { addr, role: Role::Prefill, ready: true }));
    assert_eq!(pool.endpoints(), [EndpointId(7)]);
    pool.set_address(EndpointId(7), None);
    assert!(pool.endpoints().is_empty());
}
