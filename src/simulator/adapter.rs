//! Maps replica IDs to schedulers and dispatches the events of a batch to them.

use std::collections::BTreeMap;

use super::error::{BatchError, EventError};
use super::messages::{Batch, BatchReply, Inbox, Outbox, WireEvent};
use super::translate::{command_from_action, event_from_wire};
use crate::clock::micros_from_millis;
use crate::config::settings::{NamedSettings, SettingNames, settings_from_options};
use crate::scheduler::{Action, Event, Micros, Scheduler};

/// A simulated replica, which exists from its launch event to its destroy event.
struct SimulatedReplica {
    scheduler: Scheduler,
    names: SettingNames,
}

/// Runs the simulated replicas of one process. Each has its own scheduler; they share no state.
#[derive(Default)]
pub struct Adapter {
    /// Keyed by `dispatcherId`.
    replicas: BTreeMap<u64, SimulatedReplica>,
}

impl Adapter {
    /// Processes one batch, a line of JSON, and returns the line of JSON to reply with. The reply omits
    /// replicas that have no actions.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is not a valid batch or one of its events is invalid. Events before the
    /// invalid one may have been processed already.
    pub fn handle_batch(&mut self, line: &[u8]) -> Result<String, BatchError> {
        let batch: Batch = serde_json::from_slice(line)?;
        let now = micros_from_millis(batch.now_ms);
        let mut reply = BatchReply { outboxes: Vec::new() };
        for inbox in batch.inboxes {
            let replica_id = inbox.replica;
            let actions = self.process_inbox(now, inbox)?;
            if !actions.is_empty() {
                let commands = actions.into_iter().map(command_from_action).collect();
                reply.outboxes.push(Outbox { replica: replica_id, commands });
            }
        }
        Ok(serde_json::to_string(&reply)?)
    }

    /// Processes the events of one replica as one round of its scheduler.
    fn process_inbox(&mut self, now: Micros, inbox: Inbox) -> Result<Vec<Action>, BatchError> {
        let replica_id = inbox.replica;
        let mut events = Vec::new();
        for (index, message) in inbox.events.into_iter().enumerate() {
            self.apply_event(replica_id, message, &mut events).map_err(|source| BatchError::Event {
                replica: replica_id,
                index,
                source,
            })?;
        }
        let mut actions = Vec::new();
        if let Some(replica) = self.replicas.get_mut(&replica_id) {
            replica.scheduler.handle(now, &events, &mut actions);
        }
        Ok(actions)
    }

    /// Launches or destroys the replica, or appends the message's event to the `events` of its round. A
    /// launch and a destruction discard the events before them, which were for the previous scheduler.
    fn apply_event(
        &mut self, replica_id: u64, message: WireEvent, events: &mut Vec<Event>,
    ) -> Result<(), EventError> {
        match message {
            WireEvent::Launch { salt, options } => {
                let NamedSettings { settings, names } = settings_from_options(&options)?;
                let scheduler = Scheduler::new(settings, salt);
                self.replicas.insert(replica_id, SimulatedReplica { scheduler, names });
                events.clear();
            }
            WireEvent::Destroy {} => {
                self.replicas.remove(&replica_id);
                events.clear();
            }
            other => {
                let replica = self.replicas.get(&replica_id).ok_or(EventError::NotLaunched)?;
                if let Some(event) = event_from_wire(other, &replica.names)? {
                    events.push(event);
                }
            }
        }
        Ok(())
    }
}
