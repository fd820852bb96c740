//! Graceful shutdown: after a termination signal, the process keeps accepting for a grace period, drains, and
//! exits.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

/// How long clients may still open connections after the termination signal.
pub const CONNECT_GRACE: Duration = Duration::from_millis(1_000);

/// How long requests are still accepted after the termination signal. The process may be killed as early as
/// 0.7 s after the signal, so later requests might never be answered. They are rejected, which lets their
/// clients retry elsewhere.
const REQUEST_GRACE: Duration = Duration::from_millis(600);

/// Handlers for the termination signals, SIGTERM and SIGINT.
pub struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignals {
    /// Registers handlers for both signals. From then on, they no longer kill the process.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be registered.
    pub fn register() -> io::Result<Self> {
        Ok(TerminationSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of the signals.
    pub async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Shutdown state of the process. Clones share the same state.
#[derive(Clone)]
pub struct Shutdown {
    /// When the shutdown started, if it has.
    started_at: watch::Sender<Option<Instant>>,
    /// Whether the listeners have stopped accepting connections.
    listeners_closed: watch::Sender<bool>,
    open_guards: Rc<OpenGuards>,
}

/// Tracks work that must finish before the process exits.
#[derive(Default)]
struct OpenGuards {
    count: Cell<usize>,
    all_dropped: Notify,
}

/// Delays the exit of the process until it is dropped.
pub struct ShutdownGuard(Rc<OpenGuards>);

impl ShutdownGuard {
    fn new(open_guards: &Rc<OpenGuards>) -> Self {
        open_guards.count.set(open_guards.count.get() + 1);
        ShutdownGuard(open_guards.clone())
    }
}

impl Drop for ShutdownGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        if self.0.count.get() == 0 {
            self.0.all_dropped.notify_waiters();
        }
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Shutdown {
            started_at: watch::Sender::new(None),
            listeners_closed: watch::Sender::new(false),
            open_guards: Rc::default(),
        }
    }
}

impl Shutdown {
    /// Returns whether the shutdown has started.
    pub fn has_started(&self) -> bool {
        self.started_at.borrow().is_some()
    }

    /// Returns whether requests are rejected because the grace period for requests is over.
    pub fn rejects_requests(&self) -> bool {
        self.started_at.borrow().is_some_and(|started_at| started_at.elapsed() >= REQUEST_GRACE)
    }

    /// Waits until the shutdown starts.
    pub async fn wait_started(&self) {
        let _ = self.started_at.subscribe().wait_for(Option::is_some).await;
    }

    /// Waits until the listeners stop accepting connections.
    pub async fn wait_listeners_closed(&self) {
        let _ = self.listeners_closed.subscribe().wait_for(|closed| *closed).await;
    }

    /// Returns a guard that delays the exit of the process until it is dropped.
    pub fn guard(&self) -> ShutdownGuard {
        ShutdownGuard::new(&self.open_guards)
    }

    /// Waits for a termination signal, the grace period for connections, and then for all guards to be
    /// dropped.
    pub async fn run(&self, mut signals: TerminationSignals) {
        signals.recv().await;
        tracing::info!(open = self.open_guards.count.get(), "shutdown started");
        self.started_at.send_replace(Some(Instant::now()));
        sleep(CONNECT_GRACE).await;
        tracing::info!(open = self.open_guards.count.get(), "shutdown closes the listeners");
        self.listeners_closed.send_replace(true);
        self.wait_for_guards().await;
    }

    async fn wait_for_guards(&self) {
        loop {
            // Created before the check so that a guard dropped after the check still wakes this task.
            let all_dropped = self.open_guards.all_dropped.notified();
            if self.open_guards.count.get() == 0 {
                return;
            }
            all_dropped.await;
        }
    }
}
