//! One VM.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use fescuetide_base::PoolName;
use fescuetide_base::RegionName;
use fescuetide_base::VmName;
use fescuetide_base::ZoneName;

/// What a VM runs.
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

/// Whether a VM stays or leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VmPhase {
    /// In service.
    Live,
    /// About to go; it gets no new work.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// The VM's name.
    pub name: VmName,
    /// What it runs.
    pub role: RoleKind,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Address for requests: framed protocol for side processes, HTTP for routers.
    pub data: SocketAddr,
    /// Address for control RPC.
    pub control: SocketAddr,
    /// Whether it stays.
    pub phase: VmPhase,
}
