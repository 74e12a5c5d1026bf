//! Faults that tests switch on and off over HTTP. `PUT /faults` replaces all faults of a stand-in, and `GET /faults`
//! reads them.

use std::sync::Mutex;
use std::sync::PoisonError;

use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_wire::vms::VmWire;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::empty_response;
use crate::http::json_response;
use crate::http::read_json;

/// Path of the fault settings.
pub const FAULTS_PATH: &str = "/faults";

/// Faults of the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The process exits when it starts to run a request whose body contains this text.
    pub crash_marker: Option<String>,
    /// No request makes progress.
    pub paused: bool,
    /// The reported load is this old, in ms.
    pub load_lag_ms: u64,
    /// Cache events become visible after this delay, in ms.
    pub event_lag_ms: u64,
    /// Events whose number is a multiple of this are dropped; 0 drops none.
    pub event_gap_every: u64,
}

/// Faults of the plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// The duration of a run in ms. Overrides the settings.
    pub run_ms: Option<u64>,
    /// The process exits before it runs a request whose body contains this text.
    pub crash_before: Option<String>,
    /// The process exits after it has run a request whose body contains this text and before it responds.
    pub crash_after: Option<String>,
}

/// Faults of the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFaults {
    /// All reads fail with status 503.
    pub outage: bool,
    /// Readers see a list that is this old, in ms.
    pub lag_ms: u64,
    /// The lag of individual readers in ms. Overrides `lag_ms`.
    pub reader_lag_ms: IndexMap<String, u64>,
    /// VMs that are omitted from the lists of all readers.
    pub hidden: Vec<String>,
    /// VMs that are omitted from the lists of individual readers.
    pub reader_hidden: IndexMap<String, Vec<String>>,
    /// Complete lists that individual readers see instead of the actual one. Of the other faults, only `outage` applies
    /// to these readers.
    pub reader_views: IndexMap<String, Vec<VmWire>>,
}

/// Faults of the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightFaults {
    /// All new downloads fail with status 503.
    pub outage: bool,
    /// The total rate of all downloads, in bytes per second. Overrides the settings.
    pub rate_bytes: Option<u64>,
}

/// Faults of the proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// The delay of data from the client to the target, in ms.
    pub to_target_delay_ms: u64,
    /// The delay of data from the target to the client, in ms.
    pub to_client_delay_ms: u64,
    /// New connections are closed immediately.
    pub refuse_new: bool,
    /// All connections that exist when the fault is set are reset.
    pub reset_existing: bool,
    /// All connections that exist when the fault is set stay open, but no longer forward data in either direction.
    pub silence_existing: bool,
    /// Closes or resets one connection in the middle of a stream.
    pub cut: Option<CutFault>,
    /// Data to the clients is held back on all connections.
    pub hold_all: bool,
    /// Data to the client is held back on the connections with these numbers.
    pub held: Vec<u64>,
}

/// Ends one connection after a number of bytes. Bytes to the clients of all connections are counted together; the
/// connection on which the count reaches `after_bytes` is the one that ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutFault {
    /// The number of bytes that are still forwarded.
    pub after_bytes: u64,
    /// Whether the connection is reset rather than closed.
    #[serde(default)]
    pub reset: bool,
}

/// The current faults of a stand-in, and the HTTP handler that reads and replaces them.
#[derive(Debug, Default)]
pub struct FaultStore<T> {
    faults: Mutex<T>,
}

impl<T: Clone + Serialize + DeserializeOwned> FaultStore<T> {
    /// Creates a store with the given initial faults.
    pub fn new(faults: T) -> Self {
        Self {
            faults: Mutex::new(faults),
        }
    }

    /// Returns a copy of the current faults.
    pub fn get(&self) -> T {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: T) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Handles requests for [`FAULTS_PATH`]. Returns `None` for any other path.
    pub fn handle(&self, request: &HttpRequest) -> Option<HttpResponse> {
        if request.uri.path() != FAULTS_PATH {
            return None;
        }
        Some(match request.method.as_str() {
            "GET" => json_response(200, &self.get()),
            "PUT" => match read_json::<T>(request) {
                Ok(faults) => {
                    self.set(faults);
                    empty_response(200)
                }
                Err(response) => *response,
            },
            _ => empty_response(405),
        })
    }
}
