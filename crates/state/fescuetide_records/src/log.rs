//! Log of the recent requests of a router.

use fescuetide_base::RequestId;
use indexmap::IndexMap;

use crate::RequestRecord;

/// Settings of a request log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordSettings {
    /// Maximum number of recent requests.
    pub capacity: usize,
    /// Maximum number of requests waiting to be appended to the log service. During an outage the oldest are dropped.
    pub pending_limit: usize,
}

impl Default for RecordSettings {
    fn default() -> Self {
        Self {
            capacity: 10_000,
            pending_limit: 5_000,
        }
    }
}

/// Recent requests, and requests not yet appended to the log service.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    settings: RecordSettings,
    records: IndexMap<RequestId, RequestRecord>,
    pending: Vec<RequestRecord>,
    dropped: u64,
}

impl RequestLog {
    /// Creates an empty log.
    pub fn new(settings: RecordSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a finished request.
    pub fn add(&mut self, record: RequestRecord) {
        self.push_pending(record.clone());
        if self.records.len() >= self.settings.capacity {
            // Remove entries in batches, since each removal shifts all following records.
            let batch = (self.settings.capacity / 16).max(1);
            self.records.drain(..batch.min(self.records.len()));
        }
        self.records.insert(record.request, record);
    }

    /// Returns the request with the given id, if it is still kept.
    pub fn find(&self, id: RequestId) -> Option<&RequestRecord> {
        self.records.get(&id)
    }

    /// Removes and returns up to `limit` requests to append, oldest first.
    pub fn take_pending(&mut self, limit: usize) -> Vec<RequestRecord> {
        let count = limit.min(self.pending.len());
        self.pending.drain(..count).collect()
    }

    /// Puts back requests whose append failed.
    pub fn return_pending(&mut self, mut records: Vec<RequestRecord>) {
        records.append(&mut self.pending);
        for record in records {
            self.push_pending(record);
        }
    }

    /// Returns the number of requests dropped without being appended because too many were pending.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the number of recent requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the log has no recent requests.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn push_pending(&mut self, record: RequestRecord) {
        if self.pending.len() >= self.settings.pending_limit {
            let batch = (self.settings.pending_limit / 16).max(1);
            let count = batch.min(self.pending.len());
            self.pending.drain(..count);
            self.dropped += count as u64;
        }
        self.pending.push(record);
    }
}
