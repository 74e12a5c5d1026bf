//! Stand-in of the rate-limited weight store: `GET /weights/NAME` downloads a model's or adapter's weights.

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

use crate::faults::FaultCell;
use crate::faults::WeightFaults;
use crate::http::empty_response;

/// Path prefix of weights.
const WEIGHT_PREFIX: &str = "/weights/";

/// Size of one part of a download.
const PART_BYTES: u64 = 16 * 1024;

/// Settings of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightSettings {
    /// Rate over all downloads in bytes/s.
    pub rate_bytes: u64,
    /// Size of each model and adapter in bytes.
    pub size_bytes: u64,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            rate_bytes: 8 * 1024 * 1024,
            size_bytes: 1024 * 1024,
        }
    }
}

/// The weight store. All downloads share its rate.
#[derive(Debug)]
pub struct WeightStandIn {
    settings: WeightSettings,
    faults: FaultCell<WeightFaults>,
    /// When the part after the last one granted may be sent.
    next_part: Mutex<Instant>,
}

impl WeightStandIn {
    /// Creates the store.
    pub fn new(settings: WeightSettings, faults: WeightFaults) -> Self {
        Self {
            settings,
            faults: FaultCell::new(faults),
            next_part: Mutex::new(Instant::now()),
        }
    }

    /// Serves the store at `address` until the process ends.
    ///
    /// # Errors
    ///
    /// Returns when the listener fails.
    pub fn serve(self, address: SocketAddr) -> anyhow::Result<()> {
        let store = Arc::new(self);
        crate::http::serve(address, move |request| handle(&store, &request))
    }

    /// Takes the next share of the rate and returns how long to wait for it.
    fn reserve(&self, bytes: u64) -> Duration {
        let faults = self.faults.get();
        let rate = faults.rate_bytes.unwrap_or(self.settings.rate_bytes).max(1);
        let mut next = self
            .next_part
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
    if request.method != "GET" || !path.starts_with(WEIGHT_PREFIX) {
        return empty_response(404);
    }
    if store.faults.get().outage {
        return empty_response(503);
    }
    let source = WeightParts {
        store: Arc::clone(store),
        left_bytes: store.settings.size_bytes,
    };
    HttpResponse::blocking_stream("application/octet-stream", source)
}

struct WeightParts {
    store: Arc<WeightStandIn>,
    left_bytes: u64,
}

impl BodySource for WeightParts {
    fn next_part(&mut self) -> Option<Vec<u8>> {
        if self.left_bytes == 0 {
            return None;
        }
        let length = self.left_bytes.min(PART_BYTES);
        thread::sleep(self.store.reserve(length));
        self.left_bytes -= length;
        Some(vec![0; length as usize])
    }
}
