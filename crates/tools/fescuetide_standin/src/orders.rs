//! Orders to an engine: load a model or an adapter, or change its version or role.

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a model.
    LoadModel(String),
    /// Load an adapter.
    LoadAdapter(String),
    /// Change to this version.
    SetVersion(String),
    /// Change to this role.
    SetRole(String),
}

/// The body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of the sender. A number below the highest one seen is stale.
    pub fencing: u64,
    /// The requested action.
    pub action: OrderAction,
}

/// The answer to `GET /state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The highest fencing number seen.
    pub fencing: u64,
    /// The loaded models.
    pub models: IndexSet<String>,
    /// The loaded adapters.
    pub adapters: IndexSet<String>,
    /// The current version.
    pub version: String,
    /// The current role.
    pub role: String,
    /// The number of orders that are accepted but not completed.
    pub in_progress: u32,
}

impl EngineReport {
    /// Accepts an order. Returns false if its fencing number is stale and `rejects_stale` is set.
    pub fn try_accept(&mut self, order: &EngineOrder, rejects_stale: bool) -> bool {
        if rejects_stale && order.fencing < self.fencing {
            return false;
        }
        self.fencing = self.fencing.max(order.fencing);
        self.in_progress += 1;
        true
    }

    /// Applies the action of an accepted order.
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
