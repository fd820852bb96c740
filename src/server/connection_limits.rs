//! The limits on what clients bring: how many connections, and how many bytes of bodies.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use super::close_reason::may_make_room;
use super::connection_state::ClientState;

/// Connections past the limit that are still taken, to be told so and closed.
const SPARE: usize = 16;
/// Between looks for a connection that may make room, while none may.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Room for what clients bring.
pub struct ConnectionLimiter {
    connections: RefCell<BTreeMap<u64, Rc<ClientState>>>,
    next: Cell<u64>,
    most: usize,
    left: Notify,
    bytes: Cell<usize>,
    most_bytes: usize,
}

/// A connection's place in the intake, given back when dropped.
pub struct ConnectionSlot {
    intake: Rc<ConnectionLimiter>,
    /// Its number, for the log.
    pub number: u64,
    /// The state of its connection.
    pub client: Rc<ClientState>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.intake.connections.borrow_mut().remove(&self.number);
        self.intake.left.notify_one();
    }
}

/// Bytes of a body that are held, given back when dropped.
pub struct BodyAllocation {
    intake: Rc<ConnectionLimiter>,
    bytes: usize,
}

impl BodyAllocation {
    /// Room for nothing yet.
    pub fn new(intake: Rc<ConnectionLimiter>) -> Self {
        BodyAllocation { intake, bytes: 0 }
    }

    /// Room for so many bytes more, if there is any.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let total = self.intake.bytes.get() + bytes;
        let fits = total <= self.intake.most_bytes;
        if fits {
            self.intake.bytes.set(total);
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for BodyAllocation {
    fn drop(&mut self) {
        self.intake.bytes.set(self.intake.bytes.get() - self.bytes);
    }
}

impl ConnectionLimiter {
    /// Room for so many connections and so many bytes of bodies.
    pub fn new(most: usize, most_bytes: usize) -> Rc<Self> {
        let (next, bytes) = (Cell::new(0), Cell::new(0));
        Rc::new(ConnectionLimiter {
            connections: RefCell::default(),
            next,
            most,
            left: Notify::new(),
            bytes,
            most_bytes,
        })
    }

    /// Whether more clients are connected than are served.
    pub fn over_limit(&self) -> bool {
        self.connections.borrow().len() > self.most
    }

    /// Takes a connection in. Past the limit another one makes room, if it has no request open.
    pub fn register(self: &Rc<Self>) -> ConnectionSlot {
        let (number, client) = (self.next.get(), ClientState::new());
        self.next.set(number + 1);
        if self.connections.borrow().len() >= self.most {
            self.make_room();
        }
        self.connections.borrow_mut().insert(number, client.clone());
        ConnectionSlot { intake: self.clone(), number, client }
    }

    /// Whether no more connections can be taken, not even to be told that there is no room.
    pub fn is_full(&self) -> bool {
        self.connections.borrow().len() >= self.most + SPARE
    }

    /// Waits until one more connection can be taken, if only to be told that there is no room.
    pub async fn wait_for_capacity(&self) {
        while self.is_full() {
            self.make_room();
            let _ = timeout(LOOK_AGAIN, self.left.notified()).await;
        }
    }

    /// Of those that may go, the first by stage and time.
    fn make_room(&self) {
        let may_go = |client: &&Rc<ClientState>| may_make_room(client.stage(), client.age());
        let connections = self.connections.borrow();
        let first = connections.values().filter(may_go).min_by_key(|client| client.order());
        if let Some(client) = first {
            client.evict();
        }
    }
}
