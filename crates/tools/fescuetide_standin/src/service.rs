//! Stand-in for a plain service.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fescuetide_base::StableHash;
use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use serde::Deserialize;
use serde::Serialize;

use crate::faults::FaultStore;
use crate::faults::ServiceFaults;
use crate::http::header_value;
use crate::http::json_response;
use crate::http::request_body;
use crate::journal::JournalEvent;
use crate::journal::JournalFile;
use crate::journal::JournalLine;

/// Exit code of an injected crash.
pub const CRASH_EXIT_CODE: i32 = 70;

/// The answer of the plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The name of the service.
    pub service: String,
    /// The path of the request.
    pub path: String,
    /// The hash of the request body.
    pub body: u64,
    /// The number of completed runs of the service process, including this one.
    pub run: u64,
}

/// Settings of the plain service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The name in answers and in the journal.
    pub name: String,
    /// The duration of a run, in ms.
    pub run_ms: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: "service".to_owned(),
            run_ms: 5,
        }
    }
}

/// A stand-in for a plain service, which records each run in a journal.
#[derive(Debug)]
pub struct ServiceStandIn {
    settings: ServiceSettings,
    journal: JournalFile,
    faults: FaultStore<ServiceFaults>,
    runs: AtomicU64,
}

impl ServiceStandIn {
    /// Creates a service with the given initial faults.
    pub fn new(settings: ServiceSettings, journal: JournalFile, faults: ServiceFaults) -> Self {
        Self {
            settings,
            journal,
            faults: FaultStore::new(faults),
            runs: AtomicU64::new(0),
        }
    }

    /// Serves requests at `address` until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn serve(self, address: SocketAddr) -> anyhow::Result<()> {
        crate::http::serve(address, move |request| self.handle(request))
    }

    fn handle(&self, request: HttpRequest) -> HttpResponse {
        if let Some(response) = self.faults.handle(&request) {
            return response;
        }
        let faults = self.faults.get();
        let bytes = request_body(&request);
        if contains_marker(bytes, faults.crash_before.as_deref()) {
            std::process::exit(CRASH_EXIT_CODE);
        }
        let body = StableHash::hash_bytes(bytes);
        let line = JournalLine {
            at_ms: 0,
            name: String::new(),
            event: JournalEvent::Start,
            attempt: header_value(&request, "x-request-id").unwrap_or_default(),
            key: header_value(&request, "idempotency-key"),
            content: body,
            prompt_tokens: 0,
            cached_tokens: 0,
        };
        self.journal.write(line.clone());
        let run_ms = faults.run_ms.unwrap_or(self.settings.run_ms);
        thread::sleep(Duration::from_millis(run_ms));
        self.journal.write(JournalLine {
            event: JournalEvent::Done,
            ..line
        });
        if contains_marker(bytes, faults.crash_after.as_deref()) {
            std::process::exit(CRASH_EXIT_CODE);
        }
        let answer = ServiceAnswer {
            service: self.settings.name.clone(),
            path: request.uri.path().to_owned(),
            body,
            run: self.runs.fetch_add(1, Ordering::Relaxed) + 1,
        };
        json_response(200, &answer)
    }
}

/// Whether `bytes` contain the marker. Always false without a marker.
pub(crate) fn contains_marker(bytes: &[u8], marker: Option<&str>) -> bool {
    marker.is_some_and(|marker| String::from_utf8_lossy(bytes).contains(marker))
}
