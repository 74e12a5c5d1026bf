//! Faults that tests switch on and off over HTTP: `PUT /faults` replaces the whole set, `GET /faults` reads it.

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

/// Path of the faults of every stand-in.
pub const FAULTS_PATH: &str = "/faults";

/// Faults of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The process exits when it starts to run a request that contains this text.
    pub crash_marker: Option<String>,
    /// No request makes progress.
    pub paused: bool,
    /// The load report shows the load of this long ago, in ms.
    pub load_lag_ms: u64,
    /// Cache events become visible this late, in ms.
    pub event_lag_ms: u64,
    /// Every event whose number is a multiple of this is lost; 0 loses none.
    pub event_gap_every: u64,
}

/// Faults of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Time of a run in ms, instead of the one in the settings.
    pub run_ms: Option<u64>,
    /// The process exits before it runs a request whose body contains this text.
    pub crash_before: Option<String>,
    /// The process exits after it ran a request whose body contains this text, before it answers.
    pub crash_after: Option<String>,
}

/// Faults of the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFaults {
    /// Every read fails with status 503.
    pub outage: bool,
    /// Readers see the list of this long ago, in ms.
    pub lag_ms: u64,
    /// Lag of single readers in ms, instead of `lag_ms`.
    pub reader_lag_ms: IndexMap<String, u64>,
    /// VMs that are missing from the lists of all readers.
    pub hidden: Vec<String>,
    /// VMs that are missing from the lists of single readers.
    pub reader_hidden: IndexMap<String, Vec<String>>,
    /// Whole lists that single readers see instead.
    pub reader_views: IndexMap<String, Vec<VmWire>>,
}

/// Faults of the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightFaults {
    /// Every download fails with status 503.
    pub outage: bool,
    /// Rate over all downloads in bytes/s, instead of the one in the settings.
    pub rate_bytes: Option<u64>,
}

/// Faults of a proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Delay from the connecting side to the target, in ms.
    pub to_target_delay_ms: u64,
    /// Delay from the target to the connecting side, in ms.
    pub to_client_delay_ms: u64,
    /// New connections are closed at once.
    pub refuse_new: bool,
    /// Connections that exist now are reset.
    pub reset_existing: bool,
    /// Connections that exist now carry nothing more, in either direction, and stay open.
    pub silence_existing: bool,
    /// Cuts one connection.
    pub cut: Option<CutFault>,
    /// Data for the connecting sides is held back on all connections.
    pub hold_all: bool,
    /// Data for the connecting side is held back on these connections.
    pub held: Vec<u64>,
}

/// Cuts the connection on which the count of bytes for connecting sides, from now on, reaches `after_bytes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutFault {
    /// Bytes that still pass.
    pub after_bytes: u64,
    /// Whether the connection is reset instead of closed.
    #[serde(default)]
    pub reset: bool,
}

/// The faults of one stand-in.
#[derive(Debug, Default)]
pub struct FaultStore<T> {
    faults: Mutex<T>,
}

impl<T: Clone + Serialize + DeserializeOwned> FaultStore<T> {
    /// Creates a cell with faults.
    pub fn new(faults: T) -> Self {
        Self {
            faults: Mutex::new(faults),
        }
    }

    /// The faults as they are now.
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

    /// Answers requests for [`FAULTS_PATH`]; `None` for all others.
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
