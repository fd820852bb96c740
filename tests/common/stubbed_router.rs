//! A router with one prefill stub and one decode stub, the setup of most tests that use sockets.

use super::config_files::loopback_address;
use super::connection::{Connection, connect_client};
use super::discovery_stub::{DiscoveryStub, Watch};
use super::messages::{PREFILLED, STREAM_END, STREAM_START};
use super::router_process::{RouterProcess, RunningRouter, start_router};
use super::stub_listener::StubListener;

/// Accepts a request at a prefill stub and answers it. Dropping the result closes the connection.
pub(crate) fn answer_prefill(stub: &StubListener, id: &str) -> Connection {
    let mut connection = stub.accept();
    let received = connection.read_message();
    assert_eq!(received.header("request-id"), Some(id), "{received:?}");
    connection.send(PREFILLED);
    connection
}

/// Accepts a request at a decode stub and starts its stream. Dropping the result closes the connection.
pub(crate) fn start_stream(stub: &StubListener, id: &str) -> Connection {
    let mut connection = stub.accept();
    let received = connection.read_message();
    assert_eq!(received.header("request-id"), Some(id), "{received:?}");
    connection.send(STREAM_START);
    connection
}

/// A running router with a prefill stub and a decode stub.
pub(crate) struct StubbedRouter {
    pub(crate) base: String,
    /// The endpoint `r1`.
    pub(crate) prefill_stub: StubListener,
    /// The endpoint `w1`.
    pub(crate) decode_stub: StubListener,
    pub(crate) process: RouterProcess,
    _discovery: DiscoveryStub,
    _watch: Watch,
}

impl StubbedRouter {
    /// Starts the router with text replacements in its configuration.
    pub(crate) fn start(replacements: &[(&str, &str)]) -> Self {
        let base = loopback_address();
        let prefill_stub = StubListener::endpoint(&base, "r1");
        let decode_stub = StubListener::endpoint(&base, "w1");
        let RunningRouter { process, discovery, watch } = start_router(&base, &["r1", "w1"], replacements);
        StubbedRouter { base, prefill_stub, decode_stub, process, _discovery: discovery, _watch: watch }
    }

    /// Connects a client to the router.
    pub(crate) fn client(&self) -> Connection {
        connect_client(&self.base)
    }

    /// Serves a request from prefill to the end of its stream. Dropping the result closes the stubs'
    /// connections.
    pub(crate) fn answer_request(&self, id: &str, client: &mut Connection) -> [Connection; 2] {
        let prefill = answer_prefill(&self.prefill_stub, id);
        let mut stream = start_stream(&self.decode_stub, id);
        stream.send(STREAM_END);
        client.read_until("0\r\n\r\n");
        [prefill, stream]
    }
}
