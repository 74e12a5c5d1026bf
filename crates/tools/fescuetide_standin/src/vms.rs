//! Stand-in for the platform's VM list.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_wire::vms::VmListWire;
use fescuetide_wire::vms::VmWire;
use indexmap::IndexMap;
use serde::Deserialize;

use crate::faults::FaultStore;
use crate::faults::VmListFaults;
use crate::http::empty_response;
use crate::http::json_response;
use crate::http::query_value;
use crate::http::read_json;

/// Path of the VM list.
const VM_LIST_PATH: &str = "/vms";

/// Path prefix of individual VMs.
const VM_PATH_PREFIX: &str = "/vms/";

/// The number of latest lists kept, for readers with a lag.
const RETAINED_LISTS: usize = 1_000;

/// The body of `PUT /vms/NAME`.
#[derive(Clone, Copy, Debug, Deserialize)]
struct VmMark {
    leaving: bool,
}

#[derive(Debug, Default)]
struct VmListState {
    history: Vec<(Instant, Vec<VmWire>)>,
    version: u64,
    /// The last list sent to each reader. Its version increases when the view of that reader changes.
    served: IndexMap<String, VmListWire>,
}

/// A stand-in for the VM list.
///
/// `GET /vms` reads the list, `PUT /vms` replaces it with a JSON array of VMs, and `PUT /vms/NAME` with
/// `{"leaving": true}` marks a VM as leaving.
#[derive(Debug, Default)]
pub struct VmListStandIn {
    state: Mutex<VmListState>,
    faults: FaultStore<VmListFaults>,
}

impl VmListStandIn {
    /// Creates an empty list with the given initial faults.
    pub fn new(faults: VmListFaults) -> Self {
        Self {
            state: Mutex::default(),
            faults: FaultStore::new(faults),
        }
    }

    /// Serves the list at `address` until the process exits.
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
        let path = request.uri.path();
        match (request.method.as_str(), path) {
            ("GET", VM_LIST_PATH) => self.read(&request),
            ("PUT", VM_LIST_PATH) => match read_json::<Vec<VmWire>>(&request) {
                Ok(vms) => json_response(200, &self.lock().replace(vms)),
                Err(response) => *response,
            },
            ("PUT", _) => match (
                path.strip_prefix(VM_PATH_PREFIX),
                read_json::<VmMark>(&request),
            ) {
                (Some(name), Ok(mark)) => self.set_leaving(name, mark),
                (None, _) => empty_response(404),
                (_, Err(response)) => *response,
            },
            (_, VM_LIST_PATH) => empty_response(405),
            _ => empty_response(404),
        }
    }

    fn read(&self, request: &HttpRequest) -> HttpResponse {
        let faults = self.faults.get();
        if faults.outage {
            return empty_response(503);
        }
        let reader = query_value(request, "reader").unwrap_or_default();
        let known: Option<u64> = query_value(request, "version").and_then(|text| text.parse().ok());
        let list = self.lock().view(&faults, &reader);
        if known == Some(list.version) && list.version > 0 {
            return empty_response(304);
        }
        json_response(200, &list)
    }

    fn set_leaving(&self, name: &str, mark: VmMark) -> HttpResponse {
        let mut state = self.lock();
        let mut vms = state.latest();
        let Some(vm) = vms.iter_mut().find(|vm| vm.name == name) else {
            return empty_response(404);
        };
        vm.leaving = mark.leaving;
        json_response(200, &state.replace(vms))
    }

    fn lock(&self) -> MutexGuard<'_, VmListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl VmListState {
    fn latest(&self) -> Vec<VmWire> {
        self.history
            .last()
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    fn replace(&mut self, vms: Vec<VmWire>) -> u64 {
        if self.history.len() >= RETAINED_LISTS {
            self.history.remove(0);
        }
        self.history.push((Instant::now(), vms));
        self.version += 1;
        self.version
    }

    /// The list that `reader` currently sees.
    fn view(&mut self, faults: &VmListFaults, reader: &str) -> VmListWire {
        let vms = match faults.reader_views.get(reader) {
            Some(view) => view.clone(),
            None => self.delayed_view(faults, reader),
        };
        let served = self.served.entry(reader.to_owned()).or_default();
        if served.version == 0 || served.vms != vms {
            served.version += 1;
            served.vms = vms;
        }
        served.clone()
    }

    fn delayed_view(&self, faults: &VmListFaults, reader: &str) -> Vec<VmWire> {
        let lag = faults.reader_lag_ms.get(reader).unwrap_or(&faults.lag_ms);
        let lag = Duration::from_millis(*lag);
        let mut view: &[VmWire] = &[];
        for (index, (at, vms)) in self.history.iter().enumerate() {
            if index > 0 && at.elapsed() < lag {
                break;
            }
            view = vms;
        }
        let hidden_from_reader = faults.reader_hidden.get(reader);
        let mut visible = Vec::with_capacity(view.len());
        for vm in view {
            let hidden = hidden_from_reader.is_some_and(|names| names.contains(&vm.name));
            if hidden || faults.hidden.contains(&vm.name) {
                continue;
            }
            visible.push(vm.clone());
        }
        visible
    }
}
