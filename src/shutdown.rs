//! The end of the process: what arrives is still taken, all is finished, then the process ends.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::Instant;

/// For so long after SIGTERM clients may still open connections.
pub const CONNECT_GRACE: Duration = Duration::from_millis(1_000);

/// For so long after SIGTERM requests are taken. One that comes later may still be under way when the process is
/// killed,
/// which counts from 0.7 s on; it is refused, so that its client can go elsewhere.
const REQUEST_GRACE: Duration = Duration::from_millis(600);

/// SIGTERM and SIGINT, which end the process in good order from the moment that this is made.
pub struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignals {
    /// Takes the signals over.
    pub fn listen() -> std::io::Result<Self> {
        let (terminate, interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        Ok(TerminationSignals { terminate, interrupt })
    }

    /// Waits for either.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Tells whether the process is ending, and counts what must be finished first.
#[derive(Clone)]
pub struct Shutdown {
    /// Since when the process is ending.
    ending: watch::Sender<Option<Instant>>,
    /// No more connections are taken.
    closed: watch::Sender<bool>,
    open: Rc<Open>,
}

#[derive(Default)]
struct Open {
    count: Cell<usize>,
    none: tokio::sync::Notify,
}

/// Something that must be finished before the process ends.
pub struct ShutdownGuard(Rc<Open>);

impl Drop for ShutdownGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        if self.0.count.get() == 0 {
            self.0.none.notify_waiters();
        }
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Shutdown { ending: watch::Sender::new(None), closed: watch::Sender::new(false), open: Rc::default() }
    }
}

impl Shutdown {
    /// Whether the process is ending.
    pub fn has_begun(&self) -> bool {
        self.ending.borrow().is_some()
    }

    /// Whether the process has been ending for so long that nothing new may be taken.
    pub fn rejects_requests(&self) -> bool {
        self.ending.borrow().is_some_and(|since| since.elapsed() >= REQUEST_GRACE)
    }

    /// Waits until the process is ending.
    pub async fn wait_begun(&self) {
        let _ = self.ending.subscribe().wait_for(Option::is_some).await;
    }

    /// Waits until no more connections are to be taken.
    pub async fn wait_closed(&self) {
        let _ = self.closed.subscribe().wait_for(|closed| *closed).await;
    }

    /// Marks something as unfinished until the result is dropped.
    pub fn guard(&self) -> ShutdownGuard {
        self.open.count.set(self.open.count.get() + 1);
        ShutdownGuard(self.open.clone())
    }

    /// Waits for a signal to end, then until all that still arrives is finished.
    pub async fn run(&self, mut signals: TerminationSignals) {
        signals.received().await;
        let open = self.open.count.get();
        tracing::info!(open, "shutdown started");
        self.ending.send_replace(Some(Instant::now()));
        tokio::time::sleep(CONNECT_GRACE).await;
        let open = self.open.count.get();
        tracing::info!(open, "shutdown closes the listeners");
        self.closed.send_replace(true);
        loop {
            let none = self.open.none.notified();
            if self.open.count.get() == 0 {
                return;
            }
            none.await;
        }
    }
}
