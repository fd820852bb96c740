//! The connections to one fleet of endpoints: opened on demand, used for one request at a time, and reused
//! while briefly idle.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout};

use crate::metrics::Counters;
use crate::scheduler::{EndpointId, Role};
use crate::upstream::connect::{ConnectError, Connection, connect};
use crate::upstream::idle_connections::IdleConnections;

/// Upper limit for the configured idle timeout. Endpoints have been observed to close connections after 4 s
/// with a configured 30 s, and a request that crosses such a close fails with a reset.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of checks of idle connections per idle timeout. Connections exceed the timeout by at most an
/// eighth.
const EVICTIONS_PER_IDLE_TIMEOUT: u32 = 8;

/// The pool's limits.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// Maximum time to open a connection, including the wait for a permit.
    pub connect_timeout: Duration,
    /// Maximum time for which a connection may be idle and still be reused. The endpoint is about to close it
    /// after that.
    pub idle_timeout: Duration,
    /// Maximum number of open connections to all endpoints together.
    pub max_connections: usize,
}

/// An endpoint's address, role and readiness.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointAddress {
    /// The socket address.
    pub addr: SocketAddr,
    /// The role.
    pub role: Role,
    /// Whether new requests may be sent to the endpoint.
    pub ready: bool,
}

/// The pool's state for one endpoint.
struct PooledEndpoint {
    address: EndpointAddress,
    idle: IdleConnections,
    /// When the endpoint last completed a response; `None` if it is uncertain whether the endpoint responds.
    last_response_at: Option<Instant>,
}

impl PooledEndpoint {
    fn new(address: EndpointAddress) -> Self {
        PooledEndpoint { address, idle: IdleConnections::default(), last_response_at: None }
    }

    /// Replaces the address. Idle connections to a different socket address are closed.
    fn set_address(&mut self, address: EndpointAddress) {
        if self.address.addr != address.addr {
            self.idle.close_all();
        }
        self.address = address;
    }
}

/// All connections to one fleet of endpoints.
pub struct ConnectionPool {
    by_endpoint: RefCell<BTreeMap<EndpointId, PooledEndpoint>>,
    limits: PoolLimits,
    /// One permit for each connection that may still be opened.
    permits: Arc<Semaphore>,
    counters: Rc<Counters>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(mut limits: PoolLimits, counters: Rc<Counters>) -> Self {
        limits.idle_timeout = limits.idle_timeout.min(MAX_IDLE_TIMEOUT);
        let permits = Arc::new(Semaphore::new(limits.max_connections));
        ConnectionPool { by_endpoint: RefCell::default(), limits, permits, counters }
    }

    /// Sets an endpoint's address. `None` removes the endpoint and closes its idle connections.
    pub fn set_address(&self, endpoint: EndpointId, address: Option<EndpointAddress>) {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let Some(address) = address else {
            by_endpoint.remove(&endpoint);
            return;
        };
        if let Some(pooled) = by_endpoint.get_mut(&endpoint) {
            pooled.set_address(address);
        } else {
            by_endpoint.insert(endpoint, PooledEndpoint::new(address));
        }
    }

    /// Returns an endpoint's address, if the endpoint is known.
    pub fn address(&self, endpoint: EndpointId) -> Option<EndpointAddress> {
        let by_endpoint = self.by_endpoint.borrow();
        by_endpoint.get(&endpoint).map(|pooled| pooled.address.clone())
    }

    /// Returns whether there is an idle connection to the endpoint.
    pub fn has_idle(&self, endpoint: EndpointId) -> bool {
        self.by_endpoint.borrow().get(&endpoint).is_some_and(|pooled| !pooled.idle.is_empty())
    }

    /// Returns all known endpoints, ordered by ID.
    pub fn endpoints(&self) -> Vec<EndpointId> {
        self.by_endpoint.borrow().keys().copied().collect()
    }

    /// Returns the ready endpoints, most likely to respond first: endpoints with an idle connection precede
    /// those without, and within each group the most recent response comes first.
    pub fn endpoints_by_reachability(&self) -> Vec<EndpointId> {
        let by_endpoint = self.by_endpoint.borrow();
        let mut ready: Vec<_> = by_endpoint.iter().filter(|(_, pooled)| pooled.address.ready).collect();
        ready.sort_by_key(|(_, pooled)| (pooled.idle.is_empty(), Reverse(pooled.last_response_at)));
        ready.into_iter().map(|(endpoint, _)| *endpoint).collect()
    }

    /// Returns a connection to the endpoint: an idle one that is still open, or else a new one.
    ///
    /// # Errors
    ///
    /// Indicates whether the endpoint or this machine is the cause if no connection is available within the
    /// connect timeout.
    pub async fn connection(&self, endpoint: EndpointId) -> Result<Connection, ConnectError> {
        while let Some(mut idle) = self.take_idle(endpoint) {
            if idle.reuse().await {
                self.counters.connections_reused.increment();
                return Ok(idle);
            }
        }
        self.new_connection(endpoint).await
    }

    /// Opens a connection to the endpoint. Its handshake shows that the endpoint can be reached now, while an
    /// idle connection may have fallen silent: a machine can fail or be cut off without closing its
    /// connections, and what is sent on them is lost.
    ///
    /// # Errors
    ///
    /// The same as for [`connection`](Self::connection).
    pub async fn new_connection(&self, endpoint: EndpointId) -> Result<Connection, ConnectError> {
        let addr = self.address(endpoint).ok_or(ConnectError::Endpoint)?.addr;
        let timeout_cause = Cell::new(ConnectError::Local);
        let opened = timeout(self.limits.connect_timeout, self.open(addr, &timeout_cause)).await;
        opened.unwrap_or_else(|_elapsed| Err(timeout_cause.get()))
    }

    fn take_idle(&self, endpoint: EndpointId) -> Option<Connection> {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let idle = &mut by_endpoint.get_mut(&endpoint)?.idle;
        idle.evict(self.limits.idle_timeout);
        idle.take_reusable()
    }

    async fn open(
        &self, addr: SocketAddr, timeout_cause: &Cell<ConnectError>,
    ) -> Result<Connection, ConnectError> {
        let permit = self.permit().await?;
        let socket = connect(addr, timeout_cause).await?;
        let connection = Connection::handshake(socket, permit).await?;
        self.counters.connections_opened.increment();
        Ok(connection)
    }

    /// Returns a permit for one more connection. At the limit, the connection that has been idle longest is
    /// closed to free one.
    async fn permit(&self) -> Result<OwnedSemaphorePermit, ConnectError> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Ok(permit);
        }
        self.close_oldest_idle();
        self.permits.clone().acquire_owned().await.map_err(|_| ConnectError::Local)
    }

    fn close_oldest_idle(&self) {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let with_idle = by_endpoint.values_mut().filter(|pooled| !pooled.idle.is_empty());
        if let Some(oldest) = with_idle.min_by_key(|pooled| pooled.idle.oldest_idle_since()) {
            oldest.idle.close_oldest();
        }
    }

    /// Returns a connection to the pool after a complete exchange.
    pub fn put_back(&self, endpoint: EndpointId, mut connection: Connection) {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let Some(pooled) = by_endpoint.get_mut(&endpoint) else { return };
        let now = Instant::now();
        pooled.last_response_at = Some(now);
        connection.record_response(now);
        pooled.idle.keep(connection);
    }

    /// Returns a connection to the pool if no exchange was started on it. Its idle time continues, as nothing
    /// new is known about the endpoint.
    pub fn put_back_unused(&self, endpoint: EndpointId, connection: Connection) {
        if let Some(pooled) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            pooled.idle.keep(connection);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(pooled) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            pooled.idle.close_all();
        }
    }

    /// Closes the idle connections to an endpoint and discards the time of its last response. Called when a
    /// connection to it failed or stopped responding, as the idle ones may be dead too.
    pub fn invalidate(&self, endpoint: EndpointId) {
        if let Some(pooled) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            pooled.idle.close_all();
            pooled.last_response_at = None;
        }
    }

    /// Calls [`invalidate`](Self::invalidate) after one of the endpoint's connections has been silent since
    /// `silent_since`, unless another connection to it has completed a response since then.
    pub fn invalidate_if_silent_since(&self, endpoint: EndpointId, silent_since: Instant) {
        let last_response_at =
            self.by_endpoint.borrow().get(&endpoint).and_then(|pooled| pooled.last_response_at);
        if last_response_at.is_none_or(|at| at < silent_since) {
            self.invalidate(endpoint);
        }
    }

    /// Closes idle connections that have exceeded the idle timeout, in an endless loop.
    pub async fn run_idle_eviction(&self) {
        loop {
            sleep(self.limits.idle_timeout / EVICTIONS_PER_IDLE_TIMEOUT).await;
            for pooled in self.by_endpoint.borrow_mut().values_mut() {
                pooled.idle.evict(self.limits.idle_timeout);
            }
        }
    }
}
