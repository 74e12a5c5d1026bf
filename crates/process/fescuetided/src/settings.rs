//! The settings file.

use std::path::Path;

use fescuetide_base::FindingList;
use fescuetide_router::RouterSettings;
use fescuetide_side::SideSettings;
use serde::Deserialize;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Settings of logs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LogSettings {
    /// A level such as `info`, or a filter such as `fescuetide_side=debug`.
    pub(crate) level: String,
    /// The format.
    pub(crate) format: LogFormat,
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
pub(crate) enum RoleSettings {
    /// A router.
    Router(RouterSettings),
    /// A side process.
    Side(SideSettings),
}

/// All settings of a daemon.
#[derive(Clone, Debug)]
pub(crate) struct DaemonSettings {
    pub(crate) log: LogSettings,
    pub(crate) role: RoleSettings,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RoleName {
    Router,
    Side,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    role: RoleName,
    #[serde(default)]
    log: LogSettings,
    router: Option<RouterSettings>,
    side: Option<SideSettings>,
}

/// Reads and checks a settings file.
pub(crate) fn load(path: &Path) -> Result<DaemonSettings, FindingList> {
    let place = path.display().to_string();
    let mut list = FindingList::default();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            list.add(place, error.to_string());
            return Err(list);
        }
    };
    let file: SettingsFile = match toml::from_str(&text) {
        Ok(file) => file,
        Err(error) => {
            list.add(place, error.to_string());
            return Err(list);
        }
    };
    let role = match (file.role, file.router, file.side) {
        (RoleName::Router, Some(settings), None) => RoleSettings::Router(settings),
        (RoleName::Side, None, Some(settings)) => RoleSettings::Side(settings),
        (role, _, _) => {
            let name = format!("{role:?}").to_lowercase();
            list.add(
                place,
                format!("role {name} needs the table [{name}] and no other role's"),
            );
            return Err(list);
        }
    };
    Ok(DaemonSettings {
        log: file.log,
        role,
    })
}
