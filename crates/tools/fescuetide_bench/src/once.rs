//! Sends non-repeatable requests and checks the reported outcomes against the services' journals.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use fescuetide_base::ClockMillis;
use fescuetide_base::IdempotencyKey;
use fescuetide_claims::ClaimKey;
use fescuetide_claims::ClaimPartition;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_standin::journal::JournalLine;
use fescuetide_standin::journal::read_journal;
use fescuetide_standin::log::LogFaults;
use fescuetide_standin::log::LogStatus;
use fescuetide_wire::api::ATTEMPTS_HEADER;
use fescuetide_wire::api::CHAT_HEADER;
use fescuetide_wire::api::CLASS_HEADER;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::KEY_HEADER;
use fescuetide_wire::api::WORKSPACE_HEADER;
use indexmap::IndexMap;
use ureq::Agent;

use crate::client::parse_outcome;
use crate::fleet::FleetProcesses;

/// The workspace of all requests.
const WORKSPACE: &str = "w-1";

/// Number of bits in a UUIDv7 below the timestamp.
const TIME_SHIFT_BITS: u32 = 80;

/// Version and variant bits of a UUIDv7.
const VERSION_BITS: u128 = 0x7000_8000_0000_0000_0000;

/// Default timeout of a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);

/// A non-repeatable request.
#[derive(Clone, Debug)]
pub struct OnceCall {
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// The chat id, which determines the preferred upstream.
    pub chat: String,
    /// The body; `None` for a body derived from the key.
    pub body: Option<String>,
    /// Time after which the caller disconnects.
    pub timeout: Duration,
}

impl OnceCall {
    /// Creates a request with a new key.
    pub fn new() -> Self {
        Self::with_key(IdempotencyKey::generate())
    }

    /// Creates a request with the given key.
    pub fn with_key(key: IdempotencyKey) -> Self {
        Self {
            key,
            chat: "c-0".to_owned(),
            body: None,
            timeout: CALL_TIMEOUT,
        }
    }

    /// The same request in another chat.
    pub fn in_chat(&self, chat: &str) -> Self {
        Self {
            chat: chat.to_owned(),
            ..self.clone()
        }
    }
}

impl Default for OnceCall {
    fn default() -> Self {
        Self::new()
    }
}

/// The response to a request, as received by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceResponse {
    /// The key.
    pub key: IdempotencyKey,
    /// The reported outcome, or `None` when there was no response.
    pub outcome: Option<CallOutcome>,
    /// The HTTP status, or 0 when there was no response.
    pub status: u16,
    /// The response body.
    pub body: String,
    /// `Retry-After` in seconds.
    pub retry_after: Option<u64>,
    /// Number of attempts that the router dispatched.
    pub attempts: u32,
    /// Time until the response was complete.
    pub latency: Duration,
}

/// Sends requests to the service pool of a fleet and records the responses.
#[derive(Debug)]
pub struct OnceCaller {
    path: String,
    class: String,
    responses: Mutex<Vec<OnceResponse>>,
}

impl OnceCaller {
    /// Creates a caller that sends requests of `class` to `fleet`.
    pub fn new(fleet: &FleetProcesses, class: &str) -> Self {
        Self {
            path: format!("/svc/{}/receipts", fleet.settings.service_pool),
            class: class.to_owned(),
            responses: Mutex::default(),
        }
    }

    /// Sends a request to the router at `address`.
    pub fn send(&self, address: SocketAddr, call: &OnceCall) -> OnceResponse {
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(call.timeout))
            .build()
            .into();
        let own_body = format!("receipt {}", call.key);
        let body = call.body.as_ref().unwrap_or(&own_body);
        let start = Instant::now();
        let result = agent
            .post(format!("http://{address}{}", self.path))
            .header(WORKSPACE_HEADER, WORKSPACE)
            .header(CHAT_HEADER, &call.chat)
            .header(CLASS_HEADER, &self.class)
            .header(KEY_HEADER, call.key.to_string())
            .send(body);
        let mut response = OnceResponse {
            key: call.key,
            outcome: None,
            status: 0,
            body: String::new(),
            retry_after: None,
            attempts: 0,
            latency: Duration::default(),
        };
        if let Ok(mut http) = result {
            let header = |name: &str| http.headers().get(name)?.to_str().ok()?.parse().ok();
            response.outcome = parse_outcome(&http);
            response.status = http.status().as_u16();
            response.retry_after = header("retry-after");
            response.attempts = header(ATTEMPTS_HEADER).unwrap_or_default() as u32;
            response.body = http.body_mut().read_to_string().unwrap_or_default();
        }
        response.latency = start.elapsed();
        let mut list = self
            .responses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        list.push(response.clone());
        response
    }

    /// Counts the reported outcomes; `none` stands for requests without a response.
    pub fn count_outcomes(&self) -> IndexMap<String, u32> {
        let responses = self
            .responses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut counts = IndexMap::new();
        for call in &*responses {
            let name = call.outcome.map_or("none".to_owned(), |it| it.to_string());
            *counts.entry(name).or_default() += 1;
        }
        counts
    }

    /// Compares all recorded responses with the journals of the fleet's services. Returns the contradictions.
    ///
    /// # Errors
    ///
    /// Fails when a journal cannot be read.
    pub fn check(&self, fleet: &FleetProcesses) -> anyhow::Result<Vec<String>> {
        let responses = self
            .responses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut by_key: IndexMap<IdempotencyKey, Vec<&OnceResponse>> = IndexMap::new();
        for call in &*responses {
            by_key.entry(call.key).or_default().push(call);
        }
        let runs = read_journals(fleet)?;
        let mut findings = Vec::new();
        for (key, calls) in by_key {
            let count = runs.iter().filter(|run| is_start_of(run, key)).count();
            check_key(key, &calls, count, &mut findings);
        }
        Ok(findings)
    }
}

fn check_key(
    key: IdempotencyKey,
    calls: &[&OnceResponse],
    runs: usize,
    findings: &mut Vec<String>,
) {
    if runs > 1 {
        findings.push(format!("{key} ran {runs} times"));
    }
    let all_not_run = calls
        .iter()
        .all(|call| call.outcome == Some(CallOutcome::NotRun));
    if all_not_run && runs > 0 {
        findings.push(format!("{key} was only reported as not-run, but it ran"));
    }
    let mut body: Option<&str> = None;
    for call in calls {
        match call.outcome {
            Some(CallOutcome::Completed) => {
                if runs == 0 {
                    findings.push(format!(
                        "{key} was reported as completed, but it did not run"
                    ));
                }
                if body
                    .replace(&call.body)
                    .is_some_and(|other| other != call.body)
                {
                    findings.push(format!("{key} received two different responses"));
                }
            }
            Some(CallOutcome::Failed) => {
                findings.push(format!(
                    "{key} was reported as failed, which is reserved for repeatable requests"
                ));
            }
            Some(CallOutcome::NotRun | CallOutcome::Unknown) | None => {}
        }
    }
}

fn is_start_of(line: &JournalLine, key: IdempotencyKey) -> bool {
    line.event == JournalEvent::Start && line.key.as_deref() == Some(key.to_string().as_str())
}

/// Reads the journals of all upstreams of the fleet.
///
/// # Errors
///
/// Fails when a journal cannot be read.
pub fn read_journals(fleet: &FleetProcesses) -> anyhow::Result<Vec<JournalLine>> {
    let mut lines = Vec::new();
    for node in &fleet.upstreams {
        lines.extend(read_journal(&node.journal).context("journal")?);
    }
    Ok(lines)
}

/// The number of times that `key` was run.
///
/// # Errors
///
/// Fails when a journal cannot be read.
pub fn count_runs(fleet: &FleetProcesses, key: IdempotencyKey) -> anyhow::Result<usize> {
    let lines = read_journals(fleet)?;
    Ok(lines.iter().filter(|line| is_start_of(line, key)).count())
}

/// The claim partition of `key`.
///
/// # Panics
///
/// Never: the name of the workspace is valid.
pub fn partition_of(key: IdempotencyKey) -> ClaimPartition {
    ClaimPartition::of(&ClaimKey {
        workspace: WORKSPACE.parse().expect("workspace name"),
        key,
    })
}

/// Creates a request with a new key that belongs to `partition`.
pub fn call_in_partition(partition: ClaimPartition) -> OnceCall {
    loop {
        let call = OnceCall::new();
        if partition_of(call.key) == partition {
            return call;
        }
    }
}

/// Generates a key with the creation time `at`.
pub fn key_created_at(at: ClockMillis) -> IdempotencyKey {
    let random = IdempotencyKey::generate().as_uuid().as_u128();
    let low = random & ((1 << 62) - 1);
    IdempotencyKey::from_u128(u128::from(at.as_millis()) << TIME_SHIFT_BITS | VERSION_BITS | low)
}

/// Sets the faults of the fleet's log service.
///
/// # Errors
///
/// Fails when the log service rejects them.
pub fn set_log_faults(fleet: &FleetProcesses, faults: &LogFaults) -> anyhow::Result<()> {
    ureq::put(format!("http://{}/faults", fleet.log_address)).send_json(faults)?;
    Ok(())
}

/// The status of the fleet's log service.
///
/// # Errors
///
/// Fails when the log service does not answer.
pub fn read_log_status(fleet: &FleetProcesses) -> anyhow::Result<LogStatus> {
    let url = format!("http://{}/faults", fleet.log_address);
    Ok(ureq::get(url).call()?.body_mut().read_json()?)
}
