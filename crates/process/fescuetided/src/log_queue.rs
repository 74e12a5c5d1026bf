//! Non-blocking log output: a bounded queue of lines and a thread that writes them.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the queue in lines. Lines that do not fit are dropped and counted.
const QUEUE_CAPACITY_LINES: usize = 2_048;

/// How long the thread collects lines before it writes them in one batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Limit for each of the two steps of a flush at process exit: queueing the request, and waiting for its completion. A
/// slow reader of the log delays the exit by no more than both.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Message to the thread that writes the log.
#[derive(Debug)]
enum QueueItem {
    /// A complete log line.
    Line(Vec<u8>),
    /// Write all earlier lines, then signal completion on this channel.
    Flush(Sender<()>),
}

/// Handle that queues log lines without blocking. A line that does not fit into the queue is dropped.
#[derive(Clone, Debug)]
pub(crate) struct LogQueue {
    items: Sender<QueueItem>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Starts the thread that writes queued lines to `out`.
    pub(crate) fn start(out: impl Write + Send + 'static) -> Self {
        let (items, receiver) = channel::bounded(QUEUE_CAPACITY_LINES);
        let dropped = Arc::<AtomicU64>::default();
        let queue = Self {
            items,
            dropped: Arc::clone(&dropped),
        };
        let spawned = thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&receiver, &dropped, out));
        if let Err(error) = spawned {
            eprintln!(
                "fescuetided: cannot start the log thread, no log lines are written: {error}"
            );
        }
        queue
    }

    /// Waits until all queued lines are written, at most [`FLUSH_TIMEOUT`] for each of its two steps.
    pub(crate) fn flush(&self) {
        let (done, completed) = channel::bounded(1);
        if self
            .items
            .send_timeout(QueueItem::Flush(done), FLUSH_TIMEOUT)
            .is_ok()
        {
            // Lines that are not written within the limit are lost.
            let _ = completed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(items: &Receiver<QueueItem>, dropped: &AtomicU64, mut out: impl Write) {
    let mut batch = Vec::new();
    while let Ok(item) = items.recv() {
        let mut completion_sender = add_to_batch(item, &mut batch);
        if completion_sender.is_none() {
            thread::sleep(BATCH_INTERVAL);
        }
        while let (None, Ok(item)) = (&completion_sender, items.try_recv()) {
            completion_sender = add_to_batch(item, &mut batch);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{count}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // The reader has closed the pipe, and there is no other output for the error.
            return;
        }
        batch.clear();
        if let Some(completion_sender) = completion_sender {
            // Fails when `flush` has already timed out.
            let _ = completion_sender.send(());
        }
    }
}

/// Appends a line to the batch. For a flush request, returns the channel that signals its completion.
fn add_to_batch(item: QueueItem, batch: &mut Vec<u8>) -> Option<Sender<()>> {
    match item {
        QueueItem::Line(line) => {
            batch.extend_from_slice(&line);
            None
        }
        QueueItem::Flush(done) => Some(done),
    }
}

/// Buffers the parts of one line and queues the line when dropped.
#[derive(Debug)]
pub(crate) struct LineWriter<'a> {
    queue: &'a LogQueue,
    line: Vec<u8>,
}

impl Write for LineWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineWriter<'_> {
    fn drop(&mut self) {
        if self.line.is_empty() {
            return;
        }
        let item = QueueItem::Line(std::mem::take(&mut self.line));
        if self.queue.items.try_send(item).is_err() {
            self.queue.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LineWriter<'a>;

    fn make_writer(&'a self) -> LineWriter<'a> {
        LineWriter {
            queue: self,
            line: Vec::new(),
        }
    }
}
