//! The connections to one fleet: opened as needed, one request at a time on each, reused for a short time.

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

/// Longest time for which an idle connection is kept, whatever the settings say. Endpoints have been seen to
/// close theirs after 4 s where the settings say 30 s, and a request that crosses the close ends as a reset.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time since the last response on a connection for which it counts as verified to reach its
/// endpoint. Machines vanish without closing their connections, and what is sent to them then does not
/// arrive.
const MAX_VERIFIED_IDLE: Duration = Duration::from_millis(250);

/// Idle connections are checked so many times within the idle timeout, so they outlive it by an eighth at
/// most.
const EVICTIONS_PER_IDLE_TIMEOUT: u32 = 8;

/// What the pool may use.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// Longest time for a connection to come up, and for the wait for room to open it.
    pub connect_timeout: Duration,
    /// Longest time for which a connection may be idle and still be used again: the endpoint is about to
    /// close it.
    pub idle_timeout: Duration,
    /// Most connections at once, to all endpoints together.
    pub max_connections: usize,
}

/// Where an endpoint listens and what it does.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointAddress {
    /// Its address.
    pub addr: SocketAddr,
    /// What it does.
    pub role: Role,
    /// Whether it may be sent new work.
    pub ready: bool,
}

/// What the pool has of one endpoint.
struct PooledEndpoint {
    address: EndpointAddress,
    idle: IdleConnections,
    /// When a connection to the endpoint was last put back; none while it is doubtful that the endpoint responds.
    last_response_at: Option<Instant>,
}

impl PooledEndpoint {
    fn new(address: EndpointAddress) -> Self {
        PooledEndpoint { address, idle: IdleConnections::default(), last_response_at: None }
    }

    /// Replaces the address. Idle connections to another socket address are of no use.
    fn set_address(&mut self, address: EndpointAddress) {
        if self.address.addr != address.addr {
            self.idle.close_all();
        }
        self.address = address;
    }
}

/// All connections to one fleet.
pub struct ConnectionPool {
    by_endpoint: RefCell<BTreeMap<EndpointId, PooledEndpoint>>,
    limits: PoolLimits,
    /// One permit for each connection that may still be opened.
    permits: Arc<Semaphore>,
    counters: Rc<Counters>,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(mut limits: PoolLimits, counters: Rc<Counters>) -> Self {
        limits.idle_timeout = limits.idle_timeout.min(MAX_IDLE_TIMEOUT);
        let permits = Arc::new(Semaphore::new(limits.max_connections));
        ConnectionPool { by_endpoint: RefCell::default(), limits, permits, counters }
    }

    /// Records where an endpoint listens, or with `None` that it is removed, which closes its idle
    /// connections.
    pub fn set_address(&self, endpoint: EndpointId, address: Option<EndpointAddress>) {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let Some(address) = address else {
            by_endpoint.remove(&endpoint);
            return;
        };
        if let Some(known) = by_endpoint.get_mut(&endpoint) {
            known.set_address(address);
        } else {
            by_endpoint.insert(endpoint, PooledEndpoint::new(address));
        }
    }

    /// Where an endpoint listens, if it is known.
    pub fn address(&self, endpoint: EndpointId) -> Option<EndpointAddress> {
        let by_endpoint = self.by_endpoint.borrow();
        by_endpoint.get(&endpoint).map(|known| known.address.clone())
    }

    /// The known endpoints, in the order of their ids.
    pub fn endpoints(&self) -> Vec<EndpointId> {
        self.by_endpoint.borrow().keys().copied().collect()
    }

    /// The ready endpoints, the likeliest to respond first: those with an idle connection before those
    /// without, and among them the latest response first.
    pub fn by_reachability(&self) -> Vec<EndpointId> {
        let by_endpoint = self.by_endpoint.borrow();
        let mut ready: Vec<_> = by_endpoint.iter().filter(|(_, known)| known.address.ready).collect();
        ready.sort_by_key(|(_, known)| (known.idle.is_empty(), Reverse(known.last_response_at)));
        ready.into_iter().map(|(endpoint, _)| *endpoint).collect()
    }

    /// A connection to the endpoint: an idle one that is still open, else a new one.
    ///
    /// # Errors
    ///
    /// Says whether the endpoint or this machine is to blame when no connection is there within the connect
    /// timeout.
    pub async fn connection(&self, endpoint: EndpointId) -> Result<Connection, ConnectError> {
        self.connection_idle_for_at_most(endpoint, self.limits.idle_timeout).await
    }

    /// A connection on which what is sent arrives, as far as can be known: one with a response a moment ago,
    /// else a new one, whose handshake is a response too.
    ///
    /// # Errors
    ///
    /// As for [`connection`](Self::connection).
    pub async fn verified_connection(&self, endpoint: EndpointId) -> Result<Connection, ConnectError> {
        self.connection_idle_for_at_most(endpoint, MAX_VERIFIED_IDLE).await
    }

    async fn connection_idle_for_at_most(
        &self, endpoint: EndpointId, max_idle: Duration,
    ) -> Result<Connection, ConnectError> {
        while let Some(mut idle) = self.take_idle(endpoint, max_idle) {
            if idle.reuse().await {
                self.counters.connections_reused.increment();
                return Ok(idle);
            }
        }
        let addr = self.address(endpoint).ok_or(ConnectError::Endpoint)?.addr;
        let timeout_cause = Cell::new(ConnectError::Local);
        let opened = timeout(self.limits.connect_timeout, self.open(addr, &timeout_cause)).await;
        opened.unwrap_or_else(|_elapsed| Err(timeout_cause.get()))
    }

    fn take_idle(&self, endpoint: EndpointId, max_idle: Duration) -> Option<Connection> {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let idle = &mut by_endpoint.get_mut(&endpoint)?.idle;
        idle.evict(self.limits.idle_timeout);
        idle.take_settled(max_idle)
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

    /// A permit for one more connection, freed by closing the connection that is idle longest if need be.
    async fn permit(&self) -> Result<OwnedSemaphorePermit, ConnectError> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Ok(permit);
        }
        self.close_oldest_idle();
        self.permits.clone().acquire_owned().await.map_err(|_| ConnectError::Local)
    }

    fn close_oldest_idle(&self) {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let with_idle = by_endpoint.values_mut().filter(|known| !known.idle.is_empty());
        if let Some(oldest) = with_idle.min_by_key(|known| known.idle.oldest_since()) {
            oldest.idle.close_oldest();
        }
    }

    /// Keeps a connection for reuse on which an exchange has ended completely, or on which none was begun.
    pub fn put_back(&self, endpoint: EndpointId, connection: Connection) {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let Some(known) = by_endpoint.get_mut(&endpoint) else { return };
        let now = Instant::now();
        known.last_response_at = Some(now);
        known.idle.keep(connection, now);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(known) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            known.idle.close_all();
        }
    }

    /// Closes the idle connections to an endpoint and forgets its last response: a connection to it failed or
    /// went silent, and these may be dead as well.
    pub fn invalidate(&self, endpoint: EndpointId) {
        if let Some(known) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            known.idle.close_all();
            known.last_response_at = None;
        }
    }

    /// [Invalidates](Self::invalidate) an endpoint of which one connection has been silent since
    /// `silent_since`, unless another connection to it was put back since.
    pub fn invalidate_if_unheard_since(&self, endpoint: EndpointId, silent_since: Instant) {
        let last_response_at =
            self.by_endpoint.borrow().get(&endpoint).and_then(|known| known.last_response_at);
        if last_response_at.is_none_or(|at| at < silent_since) {
            self.invalidate(endpoint);
        }
    }

    /// Closes, for ever, what has been idle for too long.
    pub async fn run_idle_eviction(&self) {
        loop {
            sleep(self.limits.idle_timeout / EVICTIONS_PER_IDLE_TIMEOUT).await;
            for known in self.by_endpoint.borrow_mut().values_mut() {
                known.idle.evict(self.limits.idle_timeout);
            }
        }
    }
}
