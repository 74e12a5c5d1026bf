//! A bounded queue of log lines in front of a slow reader.

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

/// Lines that wait at most; further ones are counted and dropped.
const LINE_LIMIT: usize = 2_048;

/// How long lines are collected before they are written together.
const COLLECT_SPAN: Duration = Duration::from_millis(100);

/// How long the end of the process waits for a slow reader.
const FLUSH_LIMIT: Duration = Duration::from_millis(250);

/// What the writing thread is given.
#[derive(Debug)]
enum QueueItem {
    /// A line.
    Line(Vec<u8>),
    /// Everything before this is to be written; then the sender is told.
    Flush(Sender<()>),
}

/// Takes lines without ever waiting.
#[derive(Clone, Debug)]
pub(crate) struct LogQueue {
    items: Sender<QueueItem>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Starts the thread that writes lines to `out`.
    pub(crate) fn start(out: impl Write + Send + 'static) -> Self {
        let (items, receiver) = channel::bounded(LINE_LIMIT);
        let dropped = Arc::<AtomicU64>::default();
        let queue = Self {
            items,
            dropped: Arc::clone(&dropped),
        };
        let spawned = thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&receiver, &dropped, out));
        if let Err(error) = spawned {
            eprintln!("fescuetided: log lines are lost, the thread cannot be started: {error}");
        }
        queue
    }

    /// Waits until all lines are written, for a limited time.
    pub(crate) fn flush(&self) {
        let (done, is_done) = channel::bounded(1);
        if self
            .items
            .send_timeout(QueueItem::Flush(done), FLUSH_LIMIT)
            .is_ok()
        {
            // A reader that takes too long loses the rest.
            let _ = is_done.recv_timeout(FLUSH_LIMIT);
        }
    }
}

fn write_lines(items: &Receiver<QueueItem>, dropped: &AtomicU64, mut out: impl Write) {
    let mut batch = Vec::new();
    while let Ok(item) = items.recv() {
        let mut flushed = collect(item, &mut batch);
        if flushed.is_none() {
            thread::sleep(COLLECT_SPAN);
        }
        while let (None, Ok(item)) = (&flushed, items.try_recv()) {
            flushed = collect(item, &mut batch);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{count}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Nobody reads the log any more; there is nowhere to report it.
            return;
        }
        batch.clear();
        if let Some(flushed) = flushed {
            // The process may not wait any more.
            let _ = flushed.send(());
        }
    }
}

/// Adds a line to a batch. Returns whom to tell when the batch is written.
fn collect(item: QueueItem, batch: &mut Vec<u8>) -> Option<Sender<()>> {
    match item {
        QueueItem::Line(line) => {
            batch.extend_from_slice(&line);
            None
        }
        QueueItem::Flush(done) => Some(done),
    }
}

/// Collects the parts of one line.
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
