//! The numbered stream of an engine's cache events, which is late and has gaps.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::faults::EngineFaults;

/// Events kept for readers.
const RETAINED_EVENTS: usize = 10_000;

/// What happened to the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// Blocks were stored; those that were there already are not named.
    Stored(Vec<u64>),
    /// Blocks were evicted.
    Evicted(Vec<u64>),
}

/// One event. A reader finds a gap by a missing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by 1 with each event, from 1.
    pub number: u64,
    /// What happened.
    pub change: CacheChange,
}

/// The events of one engine.
#[derive(Debug, Default)]
pub struct CacheEventLog {
    events: VecDeque<(Instant, CacheEvent)>,
    last_number: u64,
}

impl CacheEventLog {
    /// Appends an event, unless it names no block.
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

    /// The visible events from number `from` on.
    pub fn read(&self, from: u64, faults: &EngineFaults) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(faults.event_lag_ms);
        let mut list = Vec::new();
        for (at, event) in &self.events {
            if at.elapsed() < lag {
                break;
            }
            let drop_interval = faults.event_gap_every;
            let is_dropped = drop_interval > 0 && event.number % drop_interval == 0;
            if event.number < from || is_dropped {
                continue;
            }
            list.push(event.clone());
        }
        list
    }
}
