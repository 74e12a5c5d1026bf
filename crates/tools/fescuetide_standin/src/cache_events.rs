//! The numbered cache events of an engine. Faults can delay and drop events.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::faults::EngineFaults;

/// The number of latest events kept for readers.
const RETAINED_EVENTS: usize = 10_000;

/// A change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// Blocks were added. Blocks that were already cached are not included.
    Stored(Vec<u64>),
    /// Blocks were evicted.
    Evicted(Vec<u64>),
}

/// A cache event. Readers detect dropped events by gaps in the numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number, from 1.
    pub number: u64,
    /// The change.
    pub change: CacheChange,
}

/// The cache events of an engine.
#[derive(Debug, Default)]
pub struct CacheEventLog {
    events: VecDeque<(Instant, CacheEvent)>,
    last_number: u64,
}

impl CacheEventLog {
    /// Appends an event, unless the change has no blocks.
    pub fn push(&mut self, change: CacheChange) {
        let (CacheChange::Stored(blocks) | CacheChange::Evicted(blocks)) = &change;
        if blocks.is_empty() {
            return;
        }
        self.last_number += 1;
        let event = CacheEvent {
            number: self.last_number,
            change,
        };
        if self.events.len() >= RETAINED_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now(), event));
    }

    /// Returns the events numbered `from` and higher that the faults neither delay nor drop.
    pub fn read(&self, from: u64, faults: &EngineFaults) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(faults.event_lag_ms);
        let mut visible_events = Vec::new();
        for (at, event) in &self.events {
            if at.elapsed() < lag {
                break;
            }
            let drop_interval = faults.event_gap_every;
            let is_dropped = drop_interval > 0 && event.number % drop_interval == 0;
            if event.number < from || is_dropped {
                continue;
            }
            visible_events.push(event.clone());
        }
        visible_events
    }
}
