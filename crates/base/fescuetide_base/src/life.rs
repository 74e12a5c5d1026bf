//! Short ids of the lives of upstreams.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::ProcessIncarnation;
use crate::StableHash;
use crate::VmName;

/// One life of an upstream, from its start to its end, as a hash that is the same at all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamLife(u32);

impl UpstreamLife {
    /// Creates the id from its number.
    pub const fn new(id: u32) -> Self {
        Self(id)
    }

    /// Returns the number.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Computes the id of an incarnation of the upstream at `vm`.
    pub fn of(vm: &VmName, incarnation: ProcessIncarnation) -> Self {
        let hash = StableHash::new()
            .field(vm.as_str().as_bytes())
            .field(&incarnation.get().to_le_bytes())
            .finish();
        Self(hash as u32)
    }
}

impl fmt::Display for UpstreamLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for UpstreamLife {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u32::from_str_radix(text, 16).map(Self)
    }
}
