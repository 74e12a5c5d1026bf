//! Stand-in for the weight store, which limits the download rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_net::BodySource;
use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;

use crate::faults::FaultStore;
use crate::faults::WeightFaults;
use crate::http::empty_response;

/// Path prefix of downloads.
const WEIGHT_PATH_PREFIX: &str = "/weights/";

/// The size of one chunk of a download.
const CHUNK_BYTES: u64 = 16 * 1024;

/// Settings of the weight store stand-in.
#[derive(Clone, Copy, Debug)]
pub struct WeightSettings {
    /// The total rate of all downloads, in bytes per second.
    pub rate_bytes_per_s: u64,
    /// The size of each model and adapter, in bytes.
    pub size_bytes: u64,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            rate_bytes_per_s: 8 * 1024 * 1024,
            size_bytes: 1024 * 1024,
        }
    }
}

/// A stand-in for the weight store.
///
/// `GET /weights/NAME` downloads the weights of a model or adapter. All downloads share one rate limit.
#[derive(Debug)]
pub struct WeightStandIn {
    settings: WeightSettings,
    faults: FaultStore<WeightFaults>,
    /// The time up to which bandwidth is reserved.
    next_chunk_at: Mutex<Instant>,
}

impl WeightStandIn {
    /// Creates a store with the given initial faults.
    pub fn new(settings: WeightSettings, faults: WeightFaults) -> Self {
        Self {
            settings,
            faults: FaultStore::new(faults),
            next_chunk_at: Mutex::new(Instant::now()),
        }
    }

    /// Serves the store at `address` until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn serve(self, address: SocketAddr) -> anyhow::Result<()> {
        let store = Arc::new(self);
        crate::http::serve(address, move |request| handle(&store, &request))
    }

    /// Reserves bandwidth for `bytes` and returns how long to wait before they may be sent.
    fn reserve(&self, bytes: u64) -> Duration {
        let faults = self.faults.get();
        let rate = faults
            .rate_bytes
            .unwrap_or(self.settings.rate_bytes_per_s)
            .max(1);
        let mut next = self
            .next_chunk_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let start = (*next).max(now);
        *next = start + Duration::from_micros(bytes.saturating_mul(1_000_000) / rate);
        *next - now
    }
}

fn handle(store: &Arc<WeightStandIn>, request: &HttpRequest) -> HttpResponse {
    if let Some(response) = store.faults.handle(request) {
        return response;
    }
    let path = request.uri.path();
    if request.method != "GET" || !path.starts_with(WEIGHT_PATH_PREFIX) {
        return empty_response(404);
    }
    if store.faults.get().outage {
        return empty_response(503);
    }
    let source = WeightDownload {
        store: Arc::clone(store),
        remaining_bytes: store.settings.size_bytes,
    };
    HttpResponse::blocking_stream("application/octet-stream", source)
}

struct WeightDownload {
    store: Arc<WeightStandIn>,
    remaining_bytes: u64,
}

impl BodySource for WeightDownload {
    fn next_part(&mut self) -> Option<Vec<u8>> {
        if self.remaining_bytes == 0 {
            return None;
        }
        let length = self.remaining_bytes.min(CHUNK_BYTES);
        thread::sleep(self.store.reserve(length));
        self.remaining_bytes -= length;
        Some(vec![0; length as usize])
    }
}
