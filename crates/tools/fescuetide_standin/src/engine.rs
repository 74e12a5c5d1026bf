//! Stand-in for a model engine.
//!
//! It implements continuous batching with priorities, a bounded prefix cache, cancellation, continuation of partial
//! answers, cache events, export and import of cached prefixes, and orders.

mod events;
mod steps;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_wire::api::ChatRequest;
use fescuetide_wire::api::TokenUsage;
use serde::Deserialize;
use serde::Serialize;

use self::events::stream_response;
use crate::answer::DEFAULT_ANSWER_TOKENS;
use crate::answer::append_text_tokens;
use crate::answer::prompt_hash;
use crate::answer::prompt_tokens;
use crate::cache_events::CacheChange;
use crate::cache_events::CacheEventLog;
use crate::faults::EngineFaults;
use crate::faults::FaultStore;
use crate::http::empty_response;
use crate::http::header_value;
use crate::http::json_response;
use crate::http::query_value;
use crate::http::read_json;
use crate::http::request_body;
use crate::journal::JournalEvent;
use crate::journal::JournalFile;
use crate::journal::JournalLine;
use crate::orders::EngineOrder;
use crate::orders::EngineReport;
use crate::prefix::CacheDelta;
use crate::prefix::PrefixCache;
use crate::service::contains_marker;

/// Path prefix of the requests in progress.
const REQUEST_PATH_PREFIX: &str = "/v1/requests/";

/// The number of load samples kept for delayed load reports. One sample is taken per step.
const RETAINED_LOAD_SAMPLES: usize = 10_000;

/// Settings of the engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The name in the journal.
    pub name: String,
    /// The duration of a step in ms. Each running request generates one token per step.
    pub step_ms: u64,
    /// The maximum number of prompt tokens processed per step.
    pub prefill_tokens: usize,
    /// The maximum number of requests in the batch.
    pub batch_limit: usize,
    /// The capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// The time it takes to execute an order, in ms.
    pub order_ms: u64,
    /// The time it takes to export or import one cache block, in µs.
    pub kv_block_us: u64,
    /// Whether orders whose fencing number is below the highest one seen are rejected.
    pub rejects_stale_orders: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            step_ms: 20,
            prefill_tokens: 400,
            batch_limit: 16,
            cache_blocks: 4_000,
            order_ms: 200,
            kv_block_us: 50,
            rejects_stale_orders: true,
        }
    }
}

/// The answer to `GET /load`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The number of requests in the batch.
    pub running: usize,
    /// The number of requests that wait for the batch.
    pub waiting: usize,
}

/// The body of `POST /kv/import`, and the answer to `POST /kv/export`. The body of the export is a chat request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvPrefix {
    /// The hashes of the cached blocks, in the order of the prompt.
    pub blocks: Vec<u64>,
}

enum GenerationEvent {
    Token(String),
    Done(TokenUsage),
}

#[derive(Debug)]
struct EngineSequence {
    attempt: String,
    priority: u64,
    tokens: Vec<u64>,
    prompt_hash: u64,
    /// `None` before the request joins the batch and after its prefill is complete.
    remaining_prefill_tokens: Option<usize>,
    cached_tokens: usize,
    triggers_crash: bool,
    /// Index of the next token of the answer. It starts above 0 if the request continues a partial answer.
    next_token_index: u32,
    answer_tokens: u32,
    event_sender: Sender<GenerationEvent>,
}

#[derive(Debug)]
struct EngineState {
    waiting: Vec<EngineSequence>,
    running: Vec<EngineSequence>,
    cache: PrefixCache,
    events: CacheEventLog,
    load_samples: VecDeque<(Instant, EngineLoad)>,
    report: EngineReport,
}

impl EngineState {
    fn load(&self) -> EngineLoad {
        EngineLoad {
            running: self.running.len(),
            waiting: self.waiting.len(),
        }
    }
}

/// A stand-in for a model engine.
#[derive(Debug)]
pub struct EngineStandIn {
    settings: EngineSettings,
    journal: JournalFile,
    faults: FaultStore<EngineFaults>,
    state: Mutex<EngineState>,
}

impl EngineStandIn {
    /// Creates an engine with the given initial faults.
    pub fn new(settings: EngineSettings, journal: JournalFile, faults: EngineFaults) -> Self {
        let cache = PrefixCache::new(settings.cache_blocks);
        Self {
            settings,
            journal,
            faults: FaultStore::new(faults),
            state: Mutex::new(EngineState {
                waiting: Vec::new(),
                running: Vec::new(),
                cache,
                events: CacheEventLog::default(),
                load_samples: VecDeque::new(),
                report: EngineReport::default(),
            }),
        }
    }

    /// Serves requests at `address` until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the step thread cannot be started.
    pub fn serve(self, address: SocketAddr) -> anyhow::Result<()> {
        let engine = Arc::new(self);
        let stepper = Arc::clone(&engine);
        thread::Builder::new()
            .name("engine-steps".to_owned())
            .spawn(move || stepper.run_steps())?;
        crate::http::serve(address, move |request| handle(&engine, &request))
    }

    /// The load to report, which is older than the actual load by [`EngineFaults::load_lag_ms`].
    fn reported_load(&self) -> EngineLoad {
        let lag = Duration::from_millis(self.faults.get().load_lag_ms);
        let state = self.lock();
        if lag.is_zero() {
            return state.load();
        }
        let mut load = EngineLoad::default();
        for (at, sample) in &state.load_samples {
            if at.elapsed() < lag {
                break;
            }
            load = *sample;
        }
        load
    }

    fn export_prefix(&self, request: &HttpRequest) -> HttpResponse {
        let chat: ChatRequest = match read_json(request) {
            Ok(chat) => chat,
            Err(response) => return *response,
        };
        let blocks = self
            .lock()
            .cache
            .cached_blocks(&prompt_tokens(&chat.messages));
        thread::sleep(self.transfer_time(blocks.len()));
        json_response(200, &KvPrefix { blocks })
    }

    fn import_prefix(&self, request: &HttpRequest) -> HttpResponse {
        let prefix: KvPrefix = match read_json(request) {
            Ok(prefix) => prefix,
            Err(response) => return *response,
        };
        thread::sleep(self.transfer_time(prefix.blocks.len()));
        let mut state = self.lock();
        let delta = state.cache.store_blocks(&prefix.blocks);
        record_cache_delta(&mut state.events, delta);
        empty_response(200)
    }

    fn transfer_time(&self, blocks: usize) -> Duration {
        Duration::from_micros(self.settings.kv_block_us * blocks as u64)
    }

    /// Accepts an order, executes it after the configured time and returns the new state. The order is executed even if
    /// the caller disconnects meanwhile.
    fn execute_order(self: &Arc<Self>, request: &HttpRequest) -> HttpResponse {
        let order: EngineOrder = match read_json(request) {
            Ok(order) => order,
            Err(response) => return *response,
        };
        let rejects_stale = self.settings.rejects_stale_orders;
        if !self.lock().report.try_accept(&order, rejects_stale) {
            return json_response(409, &self.lock().report);
        }
        thread::sleep(Duration::from_millis(self.settings.order_ms));
        let mut state = self.lock();
        state.report.finish(order);
        json_response(200, &state.report)
    }

    fn generate(&self, request: &HttpRequest) -> HttpResponse {
        let attempt = header_value(request, "x-request-id").unwrap_or_default();
        let priority = header_value(request, "x-priority")
            .and_then(|text| text.parse().ok())
            .unwrap_or(u64::MAX);
        let chat: ChatRequest = match read_json(request) {
            Ok(chat) => chat,
            Err(response) => return *response,
        };
        let mut tokens = prompt_tokens(&chat.messages);
        let prompt_hash = prompt_hash(&tokens);
        let mut next_token_index = 0;
        if let Some(text) = chat
            .other
            .get("continue_from")
            .and_then(|value| value.as_str())
        {
            next_token_index = text.split_whitespace().count() as u32;
            append_text_tokens(&mut tokens, text);
        }
        let (event_sender, receiver) = mpsc::channel();
        self.lock().waiting.push(EngineSequence {
            attempt,
            priority,
            tokens,
            prompt_hash,
            remaining_prefill_tokens: None,
            cached_tokens: 0,
            triggers_crash: contains_marker(
                request_body(request),
                self.faults.get().crash_marker.as_deref(),
            ),
            next_token_index,
            answer_tokens: chat.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS),
            event_sender,
        });
        stream_response(receiver)
    }

    fn cancel(&self, attempt: &str) {
        let mut state = self.lock();
        let EngineState {
            waiting, running, ..
        } = &mut *state;
        for queue in [waiting, running] {
            let Some(position) = queue.iter().position(|other| other.attempt == attempt) else {
                continue;
            };
            let sequence = queue.remove(position);
            self.write_journal_line(JournalEvent::Cancelled, &sequence);
        }
    }

    fn write_journal_line(&self, event: JournalEvent, sequence: &EngineSequence) {
        self.journal.write(JournalLine {
            at_ms: 0,
            name: String::new(),
            event,
            attempt: sequence.attempt.clone(),
            key: None,
            content: sequence.prompt_hash,
            prompt_tokens: sequence.tokens.len() as u64,
            cached_tokens: sequence.cached_tokens as u64,
        });
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn handle(engine: &Arc<EngineStandIn>, request: &HttpRequest) -> HttpResponse {
    if let Some(response) = engine.faults.handle(request) {
        return response;
    }
    let path = request.uri.path();
    match (request.method.as_str(), path) {
        ("GET", "/health") => empty_response(200),
        ("GET", "/load") => json_response(200, &engine.reported_load()),
        ("GET", "/state") => json_response(200, &engine.lock().report),
        ("GET", "/events") => {
            let from = query_value(request, "from").and_then(|text| text.parse().ok());
            let faults = engine.faults.get();
            let events = engine.lock().events.read(from.unwrap_or(0), &faults);
            json_response(200, &events)
        }
        ("POST", "/orders") => engine.execute_order(request),
        ("POST", "/kv/export") => engine.export_prefix(request),
        ("POST", "/kv/import") => engine.import_prefix(request),
        ("POST", "/v1/chat/completions") => engine.generate(request),
        ("DELETE", _) => match path.strip_prefix(REQUEST_PATH_PREFIX) {
            Some(attempt) => {
                engine.cancel(attempt);
                empty_response(200)
            }
            None => empty_response(404),
        },
        _ => empty_response(404),
    }
}

fn record_cache_delta(events: &mut CacheEventLog, delta: CacheDelta) {
    events.push(CacheChange::Stored(delta.stored));
    events.push(CacheChange::Evicted(delta.evicted));
}
