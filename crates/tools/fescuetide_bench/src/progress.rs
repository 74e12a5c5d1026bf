//! Progress output of concurrent runs on standard error.

use std::io::IsTerminal;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

/// Update interval on a terminal, where each line overwrites the previous one.
const TERMINAL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between lines when standard error is not a terminal.
const PLAIN_INTERVAL: Duration = Duration::from_secs(5);

/// How often the thread checks the stop flag.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Request counters of one run.
#[derive(Debug, Default)]
pub struct RunProgress {
    /// Requests sent.
    pub sent: AtomicUsize,
    /// Requests in progress.
    pub in_progress: AtomicUsize,
}

/// Prints progress in a background thread until dropped.
#[derive(Debug)]
pub struct ProgressPrinter {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ProgressPrinter {
    /// Starts printing the counters of the given labelled runs.
    pub fn start(runs: Vec<(String, Arc<RunProgress>)>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stop);
        let thread = thread::spawn(move || print_lines(&runs, &stop_flag));
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for ProgressPrinter {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn print_lines(runs: &[(String, Arc<RunProgress>)], stop: &AtomicBool) {
    let mut output = std::io::stderr();
    let is_terminal = output.is_terminal();
    let interval = if is_terminal {
        TERMINAL_INTERVAL
    } else {
        PLAIN_INTERVAL
    };
    let start = Instant::now();
    let mut next_print = interval;
    while !stop.load(Ordering::Acquire) {
        thread::sleep(POLL_INTERVAL);
        if start.elapsed() < next_print {
            continue;
        }
        next_print += interval;
        let mut line = format!("{:>3} s", start.elapsed().as_secs());
        for (label, progress) in runs {
            let sent = progress.sent.load(Ordering::Relaxed);
            let in_progress = progress.in_progress.load(Ordering::Relaxed);
            line.push_str(&format!("  {label}: {sent} sent, {in_progress} open"));
        }
        let _ = match is_terminal {
            true => write!(output, "\r{line}\x1b[K"),
            false => writeln!(output, "{line}"),
        };
    }
    if is_terminal {
        let _ = writeln!(output);
    }
}
