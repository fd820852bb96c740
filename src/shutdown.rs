//! Graceful shutdown: after a termination signal the process still takes what is on its way, drains, and
//! ends.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

/// For how long after the termination signal clients may still open connections.
pub const CONNECT_GRACE: Duration = Duration::from_millis(1_000);

/// For how long after the termination signal requests are still accepted. The process may be killed from 0.7
/// s after the signal on, so a request that arrives later might never be answered: it is rejected, and its
/// client can go elsewhere.
const REQUEST_GRACE: Duration = Duration::from_millis(600);

/// The signals that ask the process to end, SIGTERM and SIGINT.
pub struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignals {
    /// Registers for both signals. From now on they no longer kill the process.
    ///
    /// # Errors
    ///
    /// Fails where the system refuses to register a signal.
    pub fn listen() -> io::Result<Self> {
        Ok(TerminationSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for either signal.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The state of the shutdown, handed down to all that must know of it. All clones share one state.
#[derive(Clone)]
pub struct Shutdown {
    /// When the shutdown began.
    started_at: watch::Sender<Option<Instant>>,
    /// Whether no more connections are accepted.
    listeners_closed: watch::Sender<bool>,
    unfinished: Rc<Unfinished>,
}

/// What must end before the process does.
#[derive(Default)]
struct Unfinished {
    guards: Cell<usize>,
    none_left: Notify,
}

/// Keeps the process from ending until it is dropped.
pub struct ShutdownGuard(Rc<Unfinished>);

impl ShutdownGuard {
    fn new(unfinished: &Rc<Unfinished>) -> Self {
        unfinished.guards.set(unfinished.guards.get() + 1);
        ShutdownGuard(unfinished.clone())
    }
}

impl Drop for ShutdownGuard {
    fn drop(&mut self) {
        self.0.guards.set(self.0.guards.get() - 1);
        if self.0.guards.get() == 0 {
            self.0.none_left.notify_waiters();
        }
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Shutdown {
            started_at: watch::Sender::new(None),
            listeners_closed: watch::Sender::new(false),
            unfinished: Rc::default(),
        }
    }
}

impl Shutdown {
    /// Whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.started_at.borrow().is_some()
    }

    /// Whether the shutdown has gone on for so long that no request may be accepted any more.
    pub fn rejects_requests(&self) -> bool {
        self.started_at.borrow().is_some_and(|started_at| started_at.elapsed() >= REQUEST_GRACE)
    }

    /// Waits until the shutdown begins.
    pub async fn wait_begun(&self) {
        let _ = self.started_at.subscribe().wait_for(Option::is_some).await;
    }

    /// Waits until no more connections are accepted.
    pub async fn wait_closed(&self) {
        let _ = self.listeners_closed.subscribe().wait_for(|closed| *closed).await;
    }

    /// Keeps the process from ending until the guard is dropped.
    pub fn guard(&self) -> ShutdownGuard {
        ShutdownGuard::new(&self.unfinished)
    }

    /// Waits for a termination signal, then for the grace period of connections, then for all guards to be
    /// dropped.
    pub async fn run(&self, mut signals: TerminationSignals) {
        signals.received().await;
        tracing::info!(open = self.unfinished.guards.get(), "shutdown started");
        self.started_at.send_replace(Some(Instant::now()));
        sleep(CONNECT_GRACE).await;
        tracing::info!(open = self.unfinished.guards.get(), "shutdown closes the listeners");
        self.listeners_closed.send_replace(true);
        self.wait_finished().await;
    }

    async fn wait_finished(&self) {
        loop {
            // Created before the check, so that a guard that is dropped after it still wakes this task.
            let none_left = self.unfinished.none_left.notified();
            if self.unfinished.guards.get() == 0 {
                return;
            }
            none_left.await;
        }
    }
}
