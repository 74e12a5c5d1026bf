//! Entry of the VM list.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use fescuetide_base::PoolName;
use fescuetide_base::RegionName;
use fescuetide_base::VmName;
use fescuetide_base::ZoneName;

/// Role of a VM.
///
/// A side process is the proxy process of Fescuetide beside each upstream (role `side`). Every request for the upstream
/// passes it. It decides on admission, queues admitted requests, and sends them to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RoleKind {
    /// A router.
    Router,
    /// A model engine with its side process.
    Engine,
    /// A plain service with its side process.
    Service,
}

impl fmt::Display for RoleKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Router => "router",
            Self::Engine => "engine",
            Self::Service => "service",
        })
    }
}

impl FromStr for RoleKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "router" => Ok(Self::Router),
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err(format!(
                "{text:?} is not a VM role; expected router, engine or service"
            )),
        }
    }
}

/// Lifecycle phase of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VmPhase {
    /// In service.
    Live,
    /// Draining before shutdown; receives no new work.
    Leaving,
}

/// A VM in the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Name of the VM, unique within the list.
    pub name: VmName,
    /// What runs on the VM.
    pub role: RoleKind,
    /// Pool that the VM belongs to.
    pub pool: PoolName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region of the VM. Requests never leave their region.
    pub region: RegionName,
    /// Address for requests. Side processes receive them as frames (`fescuetide_wire`), and routers as HTTP.
    pub data: SocketAddr,
    /// Address for control RPCs.
    pub control: SocketAddr,
    /// Lifecycle phase of the VM.
    pub phase: VmPhase,
}
