//! Stand-in of the platform's VM list.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_wire::vms::VmListWire;
use fescuetide_wire::vms::VmWire;

use crate::http::empty_response;
use crate::http::json_response;
use crate::http::query_value;
use crate::http::read_json;

/// The VM list: `GET /vms` reads it, `PUT /vms` replaces it with a JSON array of VMs.
#[derive(Debug, Default)]
pub struct VmListStandIn {
    list: Mutex<VmListWire>,
}

impl VmListStandIn {
    /// Serves the list at `address` until the process ends.
    ///
    /// # Errors
    ///
    /// Returns when the listener fails.
    pub fn serve(self, address: SocketAddr) -> anyhow::Result<()> {
        crate::http::serve(address, move |request| self.handle(request))
    }

    fn handle(&self, request: HttpRequest) -> HttpResponse {
        if request.uri.path() != "/vms" {
            return empty_response(404);
        }
        match request.method.as_str() {
            "GET" => self.read(query_value(&request, "version")),
            "PUT" => match read_json::<Vec<VmWire>>(&request) {
                Ok(vms) => self.replace(vms),
                Err(response) => *response,
            },
            _ => empty_response(405),
        }
    }

    fn read(&self, known: Option<String>) -> HttpResponse {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let known: Option<u64> = known.and_then(|text| text.parse().ok());
        if known == Some(list.version) && list.version > 0 {
            return empty_response(304);
        }
        json_response(200, &*list)
    }

    fn replace(&self, vms: Vec<VmWire>) -> HttpResponse {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.version += 1;
        list.vms = vms;
        json_response(200, &list.version)
    }
}
