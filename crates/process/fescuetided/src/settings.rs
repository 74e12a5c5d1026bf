//! The settings file.

use std::path::Path;

use fescuetide_base::FindingList;
use fescuetide_gateway::GatewaySettings;
use fescuetide_router::RouterSettings;
use fescuetide_settings::SettingsDocument;
use fescuetide_side::SideSettings;
use serde::Deserialize;
use tracing_subscriber::EnvFilter;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Settings of logs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// A level such as `info`, or a filter such as `fescuetide_side=debug`.
    pub level: String,
    /// The format.
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

/// The role with its settings.
#[derive(Clone, Debug)]
pub enum RoleSettings {
    /// A router.
    Router(RouterSettings),
    /// A side process.
    Side(SideSettings),
    /// A router that talks to upstreams directly.
    Gateway(GatewaySettings),
}

/// All settings of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Logs.
    pub log: LogSettings,
    /// The role.
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

/// Reads and checks a settings file.
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

fn check_role_tables(document: &mut SettingsDocument, role: RoleName) {
    let own = role.as_str();
    for other in [RoleName::Router, RoleName::Side, RoleName::Gateway] {
        let other = other.as_str();
        if other != own && document.contains(other) {
            document.add(
                other,
                format!("is the table of another role; the role is {own}"),
            );
        }
    }
    if !document.contains(own) {
        document.add(own, format!("is missing; the role {own} needs this table"));
    }
}
