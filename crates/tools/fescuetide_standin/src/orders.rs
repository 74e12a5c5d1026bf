//! Orders to an engine: to load a model or an adapter, to change its version or its role.

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a model.
    LoadModel(String),
    /// Load an adapter.
    LoadAdapter(String),
    /// Run this version.
    SetVersion(String),
    /// Take this role.
    SetRole(String),
}

/// The body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of who gives the order.
    pub fencing: u64,
    /// What to do.
    pub action: OrderAction,
}

/// What `GET /state` tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The highest fencing number seen.
    pub fencing: u64,
    /// Models that are loaded.
    pub models: IndexSet<String>,
    /// Adapters that are loaded.
    pub adapters: IndexSet<String>,
    /// The version.
    pub version: String,
    /// The role.
    pub role: String,
    /// Orders that are accepted and not done yet.
    pub in_progress: u32,
}

impl EngineReport {
    /// Accepts an order, unless its number is old and old numbers are refused.
    pub fn try_accept(&mut self, order: &EngineOrder, rejects_stale: bool) -> bool {
        if rejects_stale && order.fencing < self.fencing {
            return false;
        }
        self.fencing = self.fencing.max(order.fencing);
        self.in_progress += 1;
        true
    }

    /// Carries out an accepted order.
    pub fn finish(&mut self, order: EngineOrder) {
        self.in_progress -= 1;
        match order.action {
            OrderAction::LoadModel(name) => {
                self.models.insert(name);
            }
            OrderAction::LoadAdapter(name) => {
                self.adapters.insert(name);
            }
            OrderAction::SetVersion(name) => self.version = name,
            OrderAction::SetRole(name) => self.role = name,
        }
    }
}
