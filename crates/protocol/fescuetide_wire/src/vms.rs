//! The VM list's HTTP interface: `GET /vms?reader=NAME&version=N` answers [`VmListWire`], or status 304 when the
//! list still has that version.

use std::net::SocketAddr;

use fescuetide_base::FindingList;
use fescuetide_members::RoleKind;
use fescuetide_members::VmEntry;
use fescuetide_members::VmPhase;
use serde::Deserialize;
use serde::Serialize;

/// The VM list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct VmListWire {
    /// Rises with each change.
    pub version: u64,
    /// All VMs.
    pub vms: Vec<VmWire>,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmWire {
    /// Its name.
    pub name: String,
    /// `router`, `engine` or `service`.
    pub role: String,
    /// Its pool.
    pub pool: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Address for requests.
    pub data: SocketAddr,
    /// Address for control RPC.
    pub control: SocketAddr,
    /// Whether it is about to go.
    #[serde(default)]
    pub leaving: bool,
}

impl TryFrom<VmWire> for VmEntry {
    type Error = FindingList;

    fn try_from(wire: VmWire) -> Result<Self, FindingList> {
        let mut list = FindingList::default();
        let place = format!("VM {:?}", wire.name);
        let name = list_error(&mut list, &place, wire.name.parse());
        let role: Option<RoleKind> = list_error(&mut list, &place, wire.role.parse());
        let pool = list_error(&mut list, &place, wire.pool.parse());
        let zone = list_error(&mut list, &place, wire.zone.parse());
        let region = list_error(&mut list, &place, wire.region.parse());
        let (Some(name), Some(role), Some(pool), Some(zone), Some(region)) =
            (name, role, pool, zone, region)
        else {
            return Err(list);
        };
        Ok(VmEntry {
            name,
            role,
            pool,
            zone,
            region,
            data: wire.data,
            control: wire.control,
            phase: if wire.leaving {
                VmPhase::Leaving
            } else {
                VmPhase::Live
            },
        })
    }
}

fn list_error<T, E: ToString>(
    list: &mut FindingList,
    place: &str,
    result: Result<T, E>,
) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(error) => {
            list.add(place, error.to_string());
            None
        }
    }
}

impl From<&VmEntry> for VmWire {
    fn from(entry: &VmEntry) -> Self {
        Self {
            name: entry.name.to_string(),
            role: entry.role.to_string(),
            pool: entry.pool.to_string(),
            zone: entry.zone.to_string(),
            region: entry.region.to_string(),
            data: entry.data,
            control: entry.control,
            leaving: entry.phase == VmPhase::Leaving,
        }
    }
}
