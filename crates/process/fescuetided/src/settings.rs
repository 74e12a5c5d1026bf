//! Parsing and validation of the settings file.

use std::path::Path;

use fescuetide_base::FindingList;
use fescuetide_gateway::GatewaySettings;
use fescuetide_router::RouterSettings;
use fescuetide_settings::SettingsDocument;
use fescuetide_side::SideSettings;
use serde::Deserialize;
use tracing_subscriber::EnvFilter;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of logging, the table `log`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// A level such as `info`, or a filter such as `fescuetide_side=debug`.
    pub level: String,
    /// Format of log lines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            format: LogFormat::default(),
        }
    }
}

/// Settings of the selected role.
#[derive(Clone, Debug)]
pub enum RoleSettings {
    /// A router, which reaches upstreams through their side processes.
    Router(RouterSettings),
    /// A side process, which runs beside one upstream.
    Side(SideSettings),
    /// A gateway: a router that connects to upstreams directly.
    Gateway(GatewaySettings),
}

/// All settings of the daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Logging.
    pub log: LogSettings,
    /// Settings of the selected role.
    pub role: RoleSettings,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RoleName {
    Router,
    Side,
    Gateway,
}

impl RoleName {
    fn as_str(self) -> &'static str {
        match self {
            Self::Router => "router",
            Self::Side => "side",
            Self::Gateway => "gateway",
        }
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns all findings together, each with its line and key.
pub fn load(path: &Path) -> Result<DaemonSettings, FindingList> {
    let mut document = SettingsDocument::load(path)?;
    document.deny_unknown_keys(&["role", "log", "router", "side", "gateway"], "unknown key");
    let role: Option<RoleName> = document.read_key("role");
    let log: LogSettings = document.read_table("log");
    let router: RouterSettings = document.read_table("router");
    document.extend("router", &router.check());
    let side: SideSettings = document.read_table("side");
    document.extend("side", &side.check());
    let gateway: GatewaySettings = document.read_table("gateway");
    if role == Some(RoleName::Gateway) {
        document.extend("gateway", &gateway.check());
    }
    if let Some(role) = role {
        check_role_tables(&mut document, role);
    }
    if EnvFilter::try_new(&log.level).is_err() {
        let message = format!("{:?} is not a level or filter", log.level);
        document.add("log.level", message);
    }
    document.finish()?;
    let role = match role {
        Some(RoleName::Side) => RoleSettings::Side(side),
        Some(RoleName::Gateway) => RoleSettings::Gateway(gateway),
        _ => RoleSettings::Router(router),
    };
    Ok(DaemonSettings { log, role })
}

/// Adds a finding for each table of another role, and one if the table of `role` is missing.
fn check_role_tables(document: &mut SettingsDocument, role: RoleName) {
    let own_table = role.as_str();
    for other in [RoleName::Router, RoleName::Side, RoleName::Gateway] {
        let other = other.as_str();
        if other != own_table && document.contains(other) {
            document.add(
                other,
                format!("is the table of another role; the role is {own_table}"),
            );
        }
    }
    if !document.contains(own_table) {
        document.add(
            own_table,
            format!("is missing; the role {own_table} needs this table"),
        );
    }
}
