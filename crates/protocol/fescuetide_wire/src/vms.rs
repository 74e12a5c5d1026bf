//! The HTTP API of the VM list. `GET /vms?reader=NAME&version=N` returns [`VmListWire`], or status 304 if the list
//! still has version `N`.

use std::net::SocketAddr;

use fescuetide_base::FindingList;
use fescuetide_members::RoleKind;
use fescuetide_members::VmEntry;
use fescuetide_members::VmPhase;
use serde::Deserialize;
use serde::Serialize;

/// The list of all VMs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct VmListWire {
    /// The version of the list, which increases with each change.
    pub version: u64,
    /// The entries of the list.
    pub vms: Vec<VmWire>,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmWire {
    /// The name of the VM.
    pub name: String,
    /// The role of the VM: `router`, or `engine` or `service` for an upstream with its side process. Routers also act
    /// as collectors and registrars. Gateways are not in this list.
    pub role: String,
    /// The pool that the VM belongs to.
    pub pool: String,
    /// The availability zone of the VM.
    pub zone: String,
    /// The region of the VM.
    pub region: String,
    /// The address on which the router accepts HTTP requests or the side process accepts frames.
    pub data: SocketAddr,
    /// The address on which the router or side process accepts control RPC.
    pub control: SocketAddr,
    /// Whether the VM is about to be removed.
    #[serde(default)]
    pub leaving: bool,
}

impl TryFrom<VmWire> for VmEntry {
    type Error = FindingList;

    fn try_from(wire: VmWire) -> Result<Self, FindingList> {
        let mut findings = FindingList::default();
        let location = format!("VM {:?}", wire.name);
        let name = ok_or_add(&mut findings, &location, wire.name.parse());
        let role: Option<RoleKind> = ok_or_add(&mut findings, &location, wire.role.parse());
        let pool = ok_or_add(&mut findings, &location, wire.pool.parse());
        let zone = ok_or_add(&mut findings, &location, wire.zone.parse());
        let region = ok_or_add(&mut findings, &location, wire.region.parse());
        let (Some(name), Some(role), Some(pool), Some(zone), Some(region)) =
            (name, role, pool, zone, region)
        else {
            return Err(findings);
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

fn ok_or_add<T, E: ToString>(
    findings: &mut FindingList,
    location: &str,
    result: Result<T, E>,
) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(error) => {
            findings.add(location, error.to_string());
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
