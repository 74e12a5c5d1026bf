//! A model engine.

use std::collections::VecDeque;

use fescuetide_flow::LoadReport;
use indexmap::IndexMap;

/// Requests that run at once.
pub(crate) const SLOTS: u32 = 128;

/// Requests that may wait.
const QUEUE_LIMIT: usize = 8;

/// Tokens of prompts and runs that fit in memory.
const MEMORY_TOKENS: u64 = 700_000;

/// The time of a step with one running request, in microseconds.
const STEP_US: f64 = 3_410.0;

/// How much longer a step takes for each further running request, in microseconds.
const STEP_PER_RUN_US: f64 = 40.0;

/// Prompt tokens that are read in a millisecond.
const PREFILL_PER_MS: f64 = 112.0;

/// Prompt tokens that are read at most between two steps.
const CHUNK_TOKENS: u32 = 512;

/// Tokens of one event of a stream.
const TOKENS_PER_EVENT: u32 = 5;

/// Identifies a run in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RunKey(pub(crate) u64);

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRun {
    pub(crate) key: RunKey,
    pub(crate) shared: u64,
    pub(crate) prefix_tokens: u32,
    pub(crate) unique_tokens: u32,
    pub(crate) output_tokens: u32,
    prefill_left: u32,
    produced: u32,
}

impl EngineRun {
    pub(crate) fn new(
        key: RunKey,
        (shared, prefix_tokens): (u64, u32),
        unique_tokens: u32,
        output_tokens: u32,
    ) -> Self {
        Self {
            key,
            shared,
            prefix_tokens,
            unique_tokens,
            output_tokens,
            prefill_left: 0,
            produced: 0,
        }
    }

    fn tokens(&self) -> u64 {
        u64::from(self.prefix_tokens + self.unique_tokens + self.output_tokens)
    }
}

/// What a step of an engine gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepNews {
    /// An event of a stream.
    Event(RunKey),
    /// The last event of a stream.
    Done(RunKey),
}

/// Whether an engine takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineState {
    Ready,
    Leaving,
    Down,
}

/// A model engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineModel {
    pub(crate) state: EngineState,
    /// How many times longer everything takes.
    pub(crate) slowness: f64,
    /// Whether its next step is planned.
    pub(crate) is_stepping: bool,
    running: Vec<EngineRun>,
    queue: VecDeque<EngineRun>,
    /// Shared parts that are kept, the one used least recently first.
    cached: IndexMap<u64, u32>,
    /// Prompt tokens read.
    pub(crate) prefill_tokens: u64,
}

impl EngineModel {
    pub(crate) fn new() -> Self {
        Self {
            state: EngineState::Ready,
            slowness: 1.0,
            is_stepping: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            cached: IndexMap::new(),
            prefill_tokens: 0,
        }
    }

    pub(crate) fn load(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    pub(crate) fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: SLOTS,
        }
    }

    pub(crate) fn keeps(&self, shared: u64) -> bool {
        self.cached.contains_key(&shared)
    }

    /// Takes a copy of a part from another engine.
    pub(crate) fn copy_part(&mut self, shared: u64, tokens: u32) {
        self.keep_part(shared, tokens);
    }

    /// Takes a request in. Returns false when it is full.
    pub(crate) fn offer(&mut self, run: EngineRun) -> bool {
        if self.running.len() < SLOTS as usize && self.has_memory(&run) {
            self.start(run);
            return true;
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return false;
        }
        self.queue.push_back(run);
        true
    }

    pub(crate) fn cancel(&mut self, key: RunKey) {
        self.running.retain(|run| run.key != key);
        self.queue.retain(|run| run.key != key);
        self.start_queued();
    }

    /// Goes down. Returns the requests that it had.
    pub(crate) fn go_down(&mut self) -> Vec<RunKey> {
        self.state = EngineState::Down;
        let running = self.running.drain(..);
        let lost = running.chain(self.queue.drain(..)).map(|run| run.key);
        let lost = lost.collect();
        self.cached.clear();
        lost
    }

    pub(crate) fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// The time of the next step in microseconds.
    pub(crate) fn step_us(&self) -> u64 {
        let runs = self.running.len().saturating_sub(1) as f64;
        let chunk = f64::from(self.next_chunk());
        let span = STEP_US + runs * STEP_PER_RUN_US + chunk / PREFILL_PER_MS * 1_000.0;
        (span * self.slowness) as u64
    }

    fn next_chunk(&self) -> u32 {
        let waiting: u32 = self.running.iter().map(|run| run.prefill_left).sum();
        waiting.min(CHUNK_TOKENS)
    }

    /// Does a step: a chunk of prompts is read, and each request that has read its prompt generates a token.
    pub(crate) fn step(&mut self) -> Vec<StepNews> {
        let mut chunk = self.next_chunk();
        let mut news = Vec::new();
        for run in &mut self.running {
            if run.prefill_left > 0 {
                let part = run.prefill_left.min(chunk);
                run.prefill_left -= part;
                chunk -= part;
                continue;
            }
            run.produced += 1;
            if run.produced >= run.output_tokens {
                news.push(StepNews::Done(run.key));
            } else if run.produced % TOKENS_PER_EVENT == 0 {
                news.push(StepNews::Event(run.key));
            }
        }
        self.running.retain(|run| run.produced < run.output_tokens);
        self.start_queued();
        news
    }

    fn start_queued(&mut self) {
        while self.running.len() < SLOTS as usize {
            let Some(run) = self.queue.pop_front() else {
                return;
            };
            if !self.has_memory(&run) {
                self.queue.push_front(run);
                return;
            }
            self.start(run);
        }
    }

    fn start(&mut self, mut run: EngineRun) {
        let missing = if self.keeps(run.shared) {
            0
        } else {
            run.prefix_tokens
        };
        run.prefill_left = missing + run.unique_tokens;
        self.prefill_tokens += u64::from(run.prefill_left);
        self.keep_part(run.shared, run.prefix_tokens);
        self.running.push(run);
    }

    fn has_memory(&self, run: &EngineRun) -> bool {
        let used: u64 = self.running.iter().map(EngineRun::tokens).sum();
        used + run.tokens() <= MEMORY_TOKENS
    }

    /// Keeps a part and drops those used least recently when memory is short.
    fn keep_part(&mut self, shared: u64, tokens: u32) {
        self.cached.shift_remove(&shared);
        self.cached.insert(shared, tokens);
        let mut kept: u64 = self.cached.values().map(|tokens| u64::from(*tokens)).sum();
        while kept > MEMORY_TOKENS / 2 && self.cached.len() > 1 {
            let Some((_, dropped)) = self.cached.shift_remove_index(0) else {
                return;
            };
            kept -= u64::from(dropped);
        }
    }
}
