//! Stores records of finished requests and appends them to the log service in batches.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use fescuetide_base::ClockMillis;
use fescuetide_base::RequestId;
use fescuetide_base::SpanMillis;
use fescuetide_classes::ClassTable;
use fescuetide_net::ControlMeter;
use fescuetide_net::LogClient;
use fescuetide_records::BurnLedger;
use fescuetide_records::RecordSettings;
use fescuetide_records::RequestLog;
use fescuetide_records::RequestRecord;
use fescuetide_wire::records::BurnWire;
use fescuetide_wire::records::CountWire;
use fescuetide_wire::records::REQUEST_STREAM;
use fescuetide_wire::records::RequestBatch;
use fescuetide_wire::records::RequestWire;

use crate::RouterShared;

/// Timeout of an append.
const APPEND_TIMEOUT_MS: u64 = 3_000;

/// Maximum number of requests per batch. It keeps a batch below 1 MB.
const BATCH_LIMIT: usize = 1_000;

/// Capacity, in records, of the queue from the traffic threads to the control thread.
const QUEUE_LIMIT: usize = 10_000;

/// The sending half of the record queue, used by traffic threads.
#[derive(Clone, Debug)]
pub(crate) struct RecordSender {
    sender: Sender<RequestRecord>,
}

impl RecordSender {
    /// Creates the queue from traffic threads to the control thread.
    pub(crate) fn channel() -> (Self, Receiver<RequestRecord>) {
        let (sender, receiver) = channel::bounded(QUEUE_LIMIT);
        (Self { sender }, receiver)
    }

    /// Queues a record without blocking. Returns `false` if the queue is full.
    pub(crate) fn send(&self, record: RequestRecord) -> bool {
        self.sender.try_send(record).is_ok()
    }
}

/// A batch that was sent to the log service, and whether the append succeeded.
#[derive(Debug)]
struct BatchReply {
    records: Vec<RequestRecord>,
    appended: bool,
}

/// Stores recent request records and the error budget burn of the classes. Owned by the control thread.
pub(crate) struct RequestRecorder {
    shared: Arc<RouterShared>,
    receiver: Receiver<RequestRecord>,
    batches: Sender<Vec<RequestRecord>>,
    replies: Receiver<BatchReply>,
    store: RequestLog,
    burn_counts: BurnLedger,
    in_flight: bool,
    due: ClockMillis,
}

impl RequestRecorder {
    /// Starts the thread that appends batches.
    pub(crate) fn start(
        shared: &Arc<RouterShared>,
        receiver: Receiver<RequestRecord>,
    ) -> anyhow::Result<Self> {
        let (batches, batch_receiver) = channel::bounded(1);
        let (reply_sender, replies) = channel::unbounded();
        let append_shared = Arc::clone(shared);
        thread::Builder::new()
            .name("router-records".to_owned())
            .spawn(move || append_batches(&append_shared, &batch_receiver, &reply_sender))?;
        Ok(Self {
            shared: Arc::clone(shared),
            receiver,
            batches,
            replies,
            store: RequestLog::new(RecordSettings::default()),
            burn_counts: BurnLedger::default(),
            in_flight: false,
            due: ClockMillis::now(),
        })
    }

    /// Stores queued records of finished requests and sends a batch if one is due.
    pub(crate) fn step(&mut self, classes: &ClassTable, now: ClockMillis) {
        for record in self.receiver.try_iter() {
            if let Some((_, targets)) = classes.get(&record.class) {
                self.burn_counts
                    .note(&record.class, record.burn(&targets), now);
            }
            self.store.add(record);
        }
        for reply in self.replies.try_iter() {
            self.in_flight = false;
            if !reply.appended {
                self.store.return_pending(reply.records);
            }
        }
        // The running total of records that the store dropped because too many were pending. Records that did not fit
        // into the queue to this thread are counted as `records.overflow`.
        self.shared
            .metrics
            .gauge("records.dropped", self.store.dropped());
        if self.in_flight || now < self.due {
            return;
        }
        let records = self.store.take_pending(BATCH_LIMIT);
        if records.is_empty() {
            return;
        }
        self.due = now + SpanMillis::new(self.shared.settings.record_interval_ms);
        self.in_flight = self.batches.send(records).is_ok();
    }

    /// Returns the record of request `id` if it is still stored.
    pub(crate) fn find(&self, id: RequestId) -> Option<RequestWire> {
        self.store.find(id).cloned().map(RequestWire::from)
    }

    /// Returns the error budget burn of all classes over all windows: the numbers of requests that were late, lost,
    /// duplicated or refused.
    pub(crate) fn burn(&self, now: ClockMillis) -> Vec<BurnWire> {
        let mut list = Vec::new();
        for class in self.burn_counts.classes() {
            let counts = self.burn_counts.windows(class, now);
            list.push(BurnWire {
                class: class.clone(),
                counts: counts.into_iter().map(CountWire::from).collect(),
            });
        }
        list
    }
}

/// Appends batches to the log service until the control thread ends.
fn append_batches(
    shared: &RouterShared,
    batches: &Receiver<Vec<RequestRecord>>,
    replies: &Sender<BatchReply>,
) {
    let settings = &shared.settings;
    // Records are part of serving requests and do not count as control traffic.
    let log = LogClient::new(
        settings.log_url.clone(),
        SpanMillis::new(APPEND_TIMEOUT_MS),
        ControlMeter::default(),
    );
    for records in batches {
        let batch = RequestBatch {
            router: settings.vm.clone(),
            requests: records.iter().cloned().map(RequestWire::from).collect(),
        };
        let result = log.append(REQUEST_STREAM, &batch);
        if let Err(error) = &result {
            shared.metrics.count("records.failed");
            tracing::debug!(%error, "appending request records failed");
            thread::sleep(Duration::from_millis(settings.record_interval_ms));
        }
        let reply = BatchReply {
            records,
            appended: result.is_ok(),
        };
        if replies.send(reply).is_err() {
            return;
        }
    }
}
