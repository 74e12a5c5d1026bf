//! A simulated model engine with continuous batching, chunked prefill and an LRU prefix cache.

use std::collections::VecDeque;

use fescuetide_flow::LoadReport;
use indexmap::IndexMap;

/// The maximum number of requests in the batch.
pub(crate) const SLOTS: u32 = 128;

/// The maximum number of requests that wait for the batch.
const QUEUE_LIMIT: usize = 8;

/// The number of tokens of running requests that fit in memory. The prefix cache holds up to half as many.
const MEMORY_CAPACITY_TOKENS: u64 = 700_000;

/// The duration of a step with one running request, in microseconds.
const BASE_STEP_US: f64 = 3_410.0;

/// The additional duration of a step for each further running request, in microseconds.
const STEP_US_PER_REQUEST: f64 = 40.0;

/// Prefill throughput in tokens per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 112.0;

/// The maximum number of prefill tokens in one step.
const PREFILL_CHUNK_TOKENS: u32 = 512;

/// The number of tokens in one stream event. The simulation uses the same value.
const TOKENS_PER_EVENT: u32 = 5;

/// Identifies one submission of a request to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RunKey(pub(crate) u64);

/// A request that an engine runs or queues.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    pub(crate) key: RunKey,
    pub(crate) prefix_id: u64,
    pub(crate) prefix_tokens: u32,
    pub(crate) unique_tokens: u32,
    pub(crate) output_tokens: u32,
    remaining_prefill_tokens: u32,
    generated_tokens: u32,
}

impl EngineRequest {
    pub(crate) fn new(
        key: RunKey,
        (prefix_id, prefix_tokens): (u64, u32),
        unique_tokens: u32,
        output_tokens: u32,
    ) -> Self {
        Self {
            key,
            prefix_id,
            prefix_tokens,
            unique_tokens,
            output_tokens,
            remaining_prefill_tokens: 0,
            generated_tokens: 0,
        }
    }

    fn tokens(&self) -> u64 {
        u64::from(self.prefix_tokens + self.unique_tokens + self.output_tokens)
    }
}

/// The output of an engine step for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepOutput {
    /// A stream event that is not the last one.
    Event(RunKey),
    /// The last stream event.
    Done(RunKey),
}

/// The lifecycle state of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineState {
    Ready,
    Leaving,
    Down,
}

/// A simulated model engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineModel {
    pub(crate) state: EngineState,
    /// The factor by which the duration of each step is multiplied.
    pub(crate) slowdown: f64,
    /// Whether the next step is scheduled in the event queue.
    pub(crate) is_step_scheduled: bool,
    running: Vec<EngineRequest>,
    queue: VecDeque<EngineRequest>,
    /// Lengths of the cached prompt prefixes in tokens by prefix id, the least recently used one first.
    cached_prefixes: IndexMap<u64, u32>,
    /// The total number of prompt tokens processed by prefill.
    pub(crate) prefill_tokens: u64,
}

impl EngineModel {
    pub(crate) fn new() -> Self {
        Self {
            state: EngineState::Ready,
            slowdown: 1.0,
            is_step_scheduled: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            cached_prefixes: IndexMap::new(),
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

    pub(crate) fn has_prefix(&self, prefix_id: u64) -> bool {
        self.cached_prefixes.contains_key(&prefix_id)
    }

    /// Adds a prompt prefix that was copied from another engine to the cache.
    pub(crate) fn import_prefix(&mut self, prefix_id: u64, tokens: u32) {
        self.cache_prefix(prefix_id, tokens);
    }

    /// Starts or queues a request. Returns false if neither the batch nor the queue has room.
    pub(crate) fn try_admit(&mut self, request: EngineRequest) -> bool {
        if self.running.len() < SLOTS as usize && self.fits_in_memory(&request) {
            self.start(request);
            return true;
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return false;
        }
        self.queue.push_back(request);
        true
    }

    pub(crate) fn cancel(&mut self, key: RunKey) {
        self.running.retain(|request| request.key != key);
        self.queue.retain(|request| request.key != key);
        self.start_queued();
    }

    /// Stops the engine, clears its cache and returns the keys of the requests that were running or queued.
    pub(crate) fn stop(&mut self) -> Vec<RunKey> {
        self.state = EngineState::Down;
        let running = self.running.drain(..);
        let lost = running
            .chain(self.queue.drain(..))
            .map(|request| request.key);
        let lost = lost.collect();
        self.cached_prefixes.clear();
        lost
    }

    pub(crate) fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// The duration of the next step in microseconds.
    pub(crate) fn step_us(&self) -> u64 {
        let other_requests = self.running.len().saturating_sub(1) as f64;
        let chunk = f64::from(self.next_chunk());
        let span = BASE_STEP_US
            + other_requests * STEP_US_PER_REQUEST
            + chunk / PREFILL_TOKENS_PER_MS * 1_000.0;
        (span * self.slowdown) as u64
    }

    fn next_chunk(&self) -> u32 {
        let waiting: u32 = self
            .running
            .iter()
            .map(|request| request.remaining_prefill_tokens)
            .sum();
        waiting.min(PREFILL_CHUNK_TOKENS)
    }

    /// Runs one step: prefills a chunk of prompt tokens, and generates one token for each request whose prefill is
    /// complete.
    pub(crate) fn step(&mut self) -> Vec<StepOutput> {
        let mut chunk = self.next_chunk();
        let mut outputs = Vec::new();
        for request in &mut self.running {
            if request.remaining_prefill_tokens > 0 {
                let prefilled = request.remaining_prefill_tokens.min(chunk);
                request.remaining_prefill_tokens -= prefilled;
                chunk -= prefilled;
                continue;
            }
            request.generated_tokens += 1;
            if request.generated_tokens >= request.output_tokens {
                outputs.push(StepOutput::Done(request.key));
            } else if request.generated_tokens % TOKENS_PER_EVENT == 0 {
                outputs.push(StepOutput::Event(request.key));
            }
        }
        self.running
            .retain(|request| request.generated_tokens < request.output_tokens);
        self.start_queued();
        outputs
    }

    fn start_queued(&mut self) {
        while self.running.len() < SLOTS as usize {
            let Some(request) = self.queue.pop_front() else {
                return;
            };
            if !self.fits_in_memory(&request) {
                self.queue.push_front(request);
                return;
            }
            self.start(request);
        }
    }

    fn start(&mut self, mut request: EngineRequest) {
        let uncached_prefix_tokens = if self.has_prefix(request.prefix_id) {
            0
        } else {
            request.prefix_tokens
        };
        request.remaining_prefill_tokens = uncached_prefix_tokens + request.unique_tokens;
        self.prefill_tokens += u64::from(request.remaining_prefill_tokens);
        self.cache_prefix(request.prefix_id, request.prefix_tokens);
        self.running.push(request);
    }

    /// Whether the tokens of a request fit in memory beside those of the running requests.
    fn fits_in_memory(&self, request: &EngineRequest) -> bool {
        let used: u64 = self.running.iter().map(EngineRequest::tokens).sum();
        used + request.tokens() <= MEMORY_CAPACITY_TOKENS
    }

    /// Caches a prompt prefix as the most recently used one and evicts the least recently used ones above the capacity.
    fn cache_prefix(&mut self, prefix_id: u64, tokens: u32) {
        self.cached_prefixes.shift_remove(&prefix_id);
        self.cached_prefixes.insert(prefix_id, tokens);
        let mut cached_tokens: u64 = self
            .cached_prefixes
            .values()
            .map(|tokens| u64::from(*tokens))
            .sum();
        while cached_tokens > MEMORY_CAPACITY_TOKENS / 2 && self.cached_prefixes.len() > 1 {
            let Some((_, evicted_tokens)) = self.cached_prefixes.shift_remove_index(0) else {
                return;
            };
            cached_tokens -= u64::from(evicted_tokens);
        }
    }
}
