//! Sends the requests of a trace and records the responses.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fescuetide_base::ClockMillis;
use fescuetide_base::IdempotencyKey;
use fescuetide_standin::service::ServiceAnswer;
use fescuetide_wire::api::CHAT_HEADER;
use fescuetide_wire::api::CLASS_HEADER;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::DEADLINE_HEADER;
use fescuetide_wire::api::KEY_HEADER;
use fescuetide_wire::api::TokenUsage;
use fescuetide_wire::api::WORKSPACE_HEADER;
use indexmap::IndexMap;
use serde_json::json;
use ureq::Agent;

use crate::client::ChatResult;
use crate::client::parse_outcome;
use crate::client::read_events;
use crate::trace::ChatScript;
use crate::trace::TraceCall;
use crate::trace::TraceWork;

/// Deadline sent with each request.
const DEADLINE_MS: u64 = 20_000;

/// Read timeout of a response. Routers enforce the deadline, so this only bounds the duration of a run.
const SILENCE_LIMIT: Duration = Duration::from_secs(40);

/// The response to a request of the trace.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Index of the request in the trace.
    pub index: usize,
    /// Index of the router that received the request.
    pub router: usize,
    /// Send time, in ms since the Unix epoch.
    pub sent_ms: u64,
    /// Time at which the response ended, in ms since the Unix epoch.
    pub ended_ms: u64,
    /// Whether a connection to a router was established.
    pub connected: bool,
    /// The reported outcome, or `None` when the connection failed.
    pub outcome: Option<CallOutcome>,
    /// Whether the response is complete and belongs to this request.
    pub is_expected: bool,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Inter-token latencies.
    pub inter_token_latencies: Vec<Duration>,
    /// Token counts.
    pub usage: TokenUsage,
}

/// Sends the requests of a trace to the routers of a fleet.
#[derive(Clone, Debug)]
pub struct TraceCaller {
    agent: Agent,
    routers: Vec<SocketAddr>,
    keys: IndexMap<u64, IdempotencyKey>,
}

impl TraceCaller {
    /// Creates a caller. Idempotency keys contain their creation time, so they are generated here and not in the trace.
    pub fn new(routers: Vec<SocketAddr>, calls: &[TraceCall]) -> Self {
        let mut keys = IndexMap::new();
        for call in calls {
            if let TraceWork::Call { key: Some(key), .. } = &call.work {
                keys.entry(*key).or_insert_with(IdempotencyKey::generate);
            }
        }
        // Idle connections are not reused, so that a connect error always means that the request was not sent.
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_per_read(Some(SILENCE_LIMIT))
            .max_idle_connections(0)
            .build();
        Self {
            agent: config.into(),
            routers,
            keys,
        }
    }

    /// Sends a request. Tries the next router when a connection cannot be established, like a load balancer.
    pub fn send(&self, index: usize, call: &TraceCall) -> CallRecord {
        let start = ClockMillis::now();
        let mut record = None;
        for step in 0..self.routers.len() {
            let router = (call.router + step) % self.routers.len();
            let found = self.send_to(index, router, call);
            let done = found.connected;
            record = Some(found);
            if done {
                break;
            }
        }
        let mut record = record.unwrap_or_else(|| empty_record(index, call.router));
        record.sent_ms = start.as_millis();
        record.ended_ms = ClockMillis::now().as_millis();
        record
    }

    fn send_to(&self, index: usize, router: usize, call: &TraceCall) -> CallRecord {
        let record = empty_record(index, router);
        match &call.work {
            TraceWork::Chat {
                script,
                turn,
                answer_tokens,
            } => self.send_chat(record, call, (script, *turn, *answer_tokens)),
            TraceWork::Call { path, body, key } => {
                self.send_service(record, call, path, body, *key)
            }
        }
    }

    fn send_chat(
        &self,
        mut record: CallRecord,
        call: &TraceCall,
        (script, turn, answer_tokens): (&ChatScript, usize, u32),
    ) -> CallRecord {
        let start = Instant::now();
        let address = self.routers[record.router];
        let response = self
            .agent
            .post(format!("http://{address}/v1/chat/completions"))
            .header(WORKSPACE_HEADER, &call.workspace)
            .header(CHAT_HEADER, &script.name)
            .header(CLASS_HEADER, &call.class)
            .header(DEADLINE_HEADER, DEADLINE_MS.to_string())
            .send_json(json!({
                "model": "deck-1",
                "stream": true,
                "max_tokens": answer_tokens,
                "messages": script.prompt(turn),
            }));
        let response = match response {
            Ok(response) => response,
            Err(error) => {
                record.connected = !is_connect_error(&error);
                return record;
            }
        };
        if response.status() != 200 {
            record.outcome = parse_outcome(&response);
            return record;
        }
        let mut result = ChatResult {
            outcome: None,
            request: None,
            text: String::new(),
            is_complete: false,
            first_token: None,
            inter_token_latencies: Vec::new(),
            usage: TokenUsage::default(),
        };
        read_events(response, start, &mut result);
        record.outcome = result.outcome;
        record.is_expected = result.text == script.answer(turn);
        record.first_token = result.first_token;
        record.inter_token_latencies = result.inter_token_latencies;
        record.usage = result.usage;
        record
    }

    fn send_service(
        &self,
        mut record: CallRecord,
        call: &TraceCall,
        path: &str,
        body: &str,
        key: Option<u64>,
    ) -> CallRecord {
        let address = self.routers[record.router];
        let mut request = self
            .agent
            .post(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .header(WORKSPACE_HEADER, &call.workspace)
            .header(CLASS_HEADER, &call.class)
            .header(DEADLINE_HEADER, DEADLINE_MS.to_string());
        if let Some(key) = key.and_then(|key| self.keys.get(&key)) {
            request = request.header(KEY_HEADER, key.to_string());
        }
        match request.send(body) {
            Ok(mut response) => {
                record.outcome = parse_outcome(&response);
                let answer: Result<ServiceAnswer, _> = response.body_mut().read_json();
                record.is_expected = answer.is_ok_and(|answer| answer.body == call.content);
            }
            Err(error) => record.connected = !is_connect_error(&error),
        }
        record
    }
}

fn empty_record(index: usize, router: usize) -> CallRecord {
    CallRecord {
        index,
        router,
        sent_ms: 0,
        ended_ms: 0,
        connected: true,
        outcome: None,
        is_expected: false,
        first_token: None,
        inter_token_latencies: Vec::new(),
        usage: TokenUsage::default(),
    }
}

fn is_connect_error(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}
