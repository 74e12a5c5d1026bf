//! Stand-in of a model engine: continuous batching, priorities, a limited prefix cache, cancellation and continuation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use fescuetide_net::EventSource;
use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_wire::api::ChatChoice;
use fescuetide_wire::api::ChatDelta;
use fescuetide_wire::api::ChatEvent;
use fescuetide_wire::api::ChatRequest;
use fescuetide_wire::api::TokenUsage;
use serde::Deserialize;
use serde::Serialize;

use crate::answer::DEFAULT_ANSWER_TOKENS;
use crate::answer::answer_token;
use crate::answer::prompt_hash;
use crate::answer::prompt_tokens;
use crate::answer::push_words;
use crate::http::empty_response;
use crate::http::header_value;
use crate::http::json_response;
use crate::http::read_json;
use crate::journal::JournalEvent;
use crate::journal::JournalFile;
use crate::journal::JournalLine;
use crate::prefix::PrefixCache;

/// Path prefix of requests in progress.
const REQUEST_PREFIX: &str = "/v1/requests/";

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Its name.
    pub name: String,
    /// Time of one step in ms. Each running request generates one token a step.
    pub step_ms: u64,
    /// Prompt tokens that one step can take in.
    pub prefill_tokens: usize,
    /// Most requests that run at once.
    pub batch_limit: usize,
    /// Size of the prefix cache in blocks.
    pub cache_blocks: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            step_ms: 20,
            prefill_tokens: 400,
            batch_limit: 16,
            cache_blocks: 4_000,
        }
    }
}

/// The load that an engine reports.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests in the batch.
    pub running: usize,
    /// Requests waiting for the batch.
    pub waiting: usize,
}

enum EngineNews {
    Token(String),
    Done(TokenUsage),
}

#[derive(Debug)]
struct EngineSequence {
    attempt: String,
    priority: u64,
    tokens: Vec<u64>,
    prompt: u64,
    prefill_left: Option<usize>,
    cached: usize,
    next_index: u32,
    length: u32,
    news: Sender<EngineNews>,
}

#[derive(Debug)]
struct EngineState {
    waiting: Vec<EngineSequence>,
    running: Vec<EngineSequence>,
    cache: PrefixCache,
}

/// A model engine.
#[derive(Debug)]
pub struct EngineStandIn {
    settings: EngineSettings,
    journal: JournalFile,
    state: Mutex<EngineState>,
}

impl EngineStandIn {
    /// Creates the engine.
    pub fn new(settings: EngineSettings, journal: JournalFile) -> Self {
        let cache = PrefixCache::new(settings.cache_blocks);
        Self {
            settings,
            journal,
            state: Mutex::new(EngineState {
                waiting: Vec::new(),
                running: Vec::new(),
                cache,
            }),
        }
    }

    /// Serves at `address` until the process ends.
    ///
    /// # Errors
    ///
    /// Returns when the listener fails.
    pub fn serve(self, address: SocketAddr) -> anyhow::Result<()> {
        let engine = Arc::new(self);
        let stepper = Arc::clone(&engine);
        thread::Builder::new()
            .name("engine-steps".to_owned())
            .spawn(move || stepper.run_steps())?;
        crate::http::serve(address, move |request| engine.handle(request))
    }

    fn handle(&self, request: HttpRequest) -> HttpResponse {
        let path = request.uri.path().to_owned();
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/health") => empty_response(200),
            ("GET", "/load") => json_response(200, &self.load()),
            ("POST", "/v1/chat/completions") => self.generate(&request),
            ("DELETE", _) => match path.strip_prefix(REQUEST_PREFIX) {
                Some(attempt) => {
                    self.cancel(attempt);
                    empty_response(200)
                }
                None => empty_response(404),
            },
            _ => empty_response(404),
        }
    }

    fn load(&self) -> EngineLoad {
        let state = self.lock();
        EngineLoad {
            running: state.running.len(),
            waiting: state.waiting.len(),
        }
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
        let prompt = prompt_hash(&tokens);
        let mut next_index = 0;
        if let Some(text) = chat
            .other
            .get("continue_from")
            .and_then(|value| value.as_str())
        {
            next_index = text.split_whitespace().count() as u32;
            push_words(&mut tokens, text);
        }
        let (news, receiver) = mpsc::channel();
        self.lock().waiting.push(EngineSequence {
            attempt,
            priority,
            tokens,
            prompt,
            prefill_left: None,
            cached: 0,
            next_index,
            length: chat.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS),
            news,
        });
        stream_response(receiver)
    }

    fn cancel(&self, attempt: &str) {
        let mut state = self.lock();
        state.waiting.retain(|sequence| sequence.attempt != attempt);
        let position = state
            .running
            .iter()
            .position(|sequence| sequence.attempt == attempt);
        if let Some(position) = position {
            let sequence = state.running.remove(position);
            self.write_line(JournalEvent::Cancelled, &sequence);
        }
    }

    fn run_steps(&self) {
        loop {
            thread::sleep(Duration::from_millis(self.settings.step_ms));
            self.run_step();
        }
    }

    fn run_step(&self) {
        let mut state = self.lock();
        self.fill_batch(&mut state);
        let EngineState { running, cache, .. } = &mut *state;
        let mut budget = self.settings.prefill_tokens;
        let mut index = 0;
        while index < running.len() {
            if self.step_sequence(&mut running[index], cache, &mut budget) {
                running.remove(index);
            } else {
                index += 1;
            }
        }
    }

    /// Moves the waiting requests of lowest priority number into the batch.
    fn fill_batch(&self, state: &mut EngineState) {
        state.waiting.sort_by_key(|sequence| sequence.priority);
        while state.running.len() < self.settings.batch_limit && !state.waiting.is_empty() {
            let mut sequence = state.waiting.remove(0);
            sequence.cached = state.cache.cached_tokens(&sequence.tokens);
            sequence.prefill_left = Some(sequence.tokens.len() - sequence.cached);
            self.write_line(JournalEvent::Start, &sequence);
            state.running.push(sequence);
        }
    }

    /// Advances one request. Returns whether it has ended.
    fn step_sequence(
        &self,
        sequence: &mut EngineSequence,
        cache: &mut PrefixCache,
        budget: &mut usize,
    ) -> bool {
        if let Some(left) = sequence.prefill_left {
            let taken = left.min(*budget);
            *budget -= taken;
            if taken < left {
                sequence.prefill_left = Some(left - taken);
                return false;
            }
            sequence.prefill_left = None;
            cache.store(&sequence.tokens);
            self.write_line(JournalEvent::Cached, sequence);
        }
        if sequence.next_index < sequence.length {
            let text = answer_token(sequence.prompt, sequence.next_index);
            push_words(&mut sequence.tokens, &text);
            sequence.next_index += 1;
            if sequence.news.send(EngineNews::Token(text)).is_err() {
                // The reader is gone.
                self.write_line(JournalEvent::Cancelled, sequence);
                return true;
            }
        }
        if sequence.next_index < sequence.length {
            return false;
        }
        cache.store(&sequence.tokens);
        self.write_line(JournalEvent::Done, sequence);
        let generated = u64::from(sequence.length);
        let prompt_tokens = (sequence.tokens.len() as u64).saturating_sub(generated);
        let _ = sequence.news.send(EngineNews::Done(TokenUsage {
            prompt_tokens,
            cached_tokens: sequence.cached as u64,
            completion_tokens: generated,
        }));
        true
    }

    fn write_line(&self, event: JournalEvent, sequence: &EngineSequence) {
        self.journal.write(JournalLine {
            at_ms: 0,
            name: String::new(),
            event,
            attempt: sequence.attempt.clone(),
            key: None,
            content: sequence.prompt,
            prompt_tokens: sequence.tokens.len() as u64,
            cached_tokens: sequence.cached as u64,
        });
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn stream_response(receiver: Receiver<EngineNews>) -> HttpResponse {
    let source = EngineEvents {
        receiver,
        ended: false,
    };
    HttpResponse::stream("text/event-stream", source)
}

struct EngineEvents {
    receiver: Receiver<EngineNews>,
    ended: bool,
}

impl EventSource for EngineEvents {
    fn next_event(&mut self) -> Option<Vec<u8>> {
        if self.ended {
            return None;
        }
        match self.receiver.recv() {
            Ok(EngineNews::Token(text)) => Some(event_text(&ChatEvent {
                choices: vec![ChatChoice {
                    delta: ChatDelta {
                        content: Some(text),
                    },
                    ..ChatChoice::default()
                }],
                ..ChatEvent::default()
            })),
            Ok(EngineNews::Done(usage)) => {
                self.ended = true;
                let mut text = event_text(&ChatEvent {
                    usage: Some(usage),
                    ..ChatEvent::default()
                });
                text.extend_from_slice(b"data: [DONE]\n\n");
                Some(text)
            }
            // The request was cancelled; the stream ends without its last event.
            Err(_) => None,
        }
    }
}

fn event_text(event: &ChatEvent) -> Vec<u8> {
    let json = serde_json::to_string(event).unwrap_or_default();
    format!("data: {json}\n\n").into_bytes()
}
