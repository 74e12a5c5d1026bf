//! Loads the example deployments from their settings in `examples/`.

use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use anyhow::Context;
use fescuetide_base::ClassName;
use fescuetide_base::SpanMillis;
use fescuetide_base::TargetShare;
use fescuetide_classes::ClassTargets;
use fescuetide_classes::LatenessTarget;
use indexmap::IndexMap;
use serde::Deserialize;
use toml::Table;

use crate::fleet::FleetSettings;
use crate::trace::ClassLoad;

/// Settings keys that a loopback fleet replaces with its own values.
const REPLACED_KEYS: [&str; 12] = [
    "vm",
    "zone",
    "region",
    "kind",
    "pool",
    "listen",
    "data_listen",
    "control_listen",
    "upstream_url",
    "log_url",
    "vm_list_url",
    "statsd",
];

/// One of the example deployments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeploymentKind {
    /// Foliengut AG.
    #[default]
    Foliengut,
    /// Corrib Softworks.
    Corrib,
}

impl FromStr for DeploymentKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "foliengut" => Ok(Self::Foliengut),
            "corrib" => Ok(Self::Corrib),
            _ => Err(format!(
                "{text:?} is not a deployment; expected foliengut or corrib"
            )),
        }
    }
}

/// A class file, in the format accepted by `fescuetide class publish`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassFile {
    class: IndexMap<ClassName, ClassFields>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassFields {
    lateness_ms: SpanMillis,
    late_share: TargetShare,
    loss_share: TargetShare,
    duplication_share: TargetShare,
    repeatable: bool,
}

impl From<ClassFields> for ClassTargets {
    fn from(fields: ClassFields) -> Self {
        Self {
            lateness: LatenessTarget {
                within: fields.lateness_ms,
                late_share: fields.late_share,
            },
            loss_share: fields.loss_share,
            duplication_share: fields.duplication_share,
            repeatable: fields.repeatable,
        }
    }
}

/// A deployment's settings.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// The fleet; its addresses are allocated on loopback.
    pub fleet: FleetSettings,
    /// Classes of chats.
    pub chat_classes: Vec<ClassLoad>,
    /// Classes of service calls.
    pub call_classes: Vec<ClassLoad>,
}

impl DeploymentKind {
    /// The folder that holds its settings.
    pub fn folder(self) -> PathBuf {
        let name = match self {
            Self::Foliengut => "foliengut",
            Self::Corrib => "corrib",
        };
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../../examples")
            .join(name)
    }

    fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Foliengut => ["lsn-a", "lsn-b", "gva-1"],
            Self::Corrib => ["ie-east-a", "ie-east-b", "ie-east-c"],
        }
    }

    /// Classes whose requests are calls of plain services.
    fn call_classes(self) -> &'static [&'static str] {
        match self {
            Self::Foliengut => &["licence-check", "export-receipt"],
            Self::Corrib => &["booking-change"],
        }
    }

    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// Fails when a file is missing or malformed.
    pub fn load(self) -> anyhow::Result<DeploymentSettings> {
        let router = read_table(&self.folder().join("router.toml"), "router")?;
        let engine = read_table(&self.folder().join("side-engine.toml"), "side")?;
        let service = read_table(&self.folder().join("side-service.toml"), "side")?;
        let path = self.folder().join("classes.toml");
        let file: ClassFile = toml::from_str(&read_text(&path)?)
            .with_context(|| format!("{} is malformed", path.display()))?;
        let mut chat_classes = Vec::new();
        let mut call_classes = Vec::new();
        let mut classes = Vec::new();
        for (name, fields) in file.class {
            let targets = ClassTargets::from(fields);
            let is_call = self.call_classes().contains(&name.as_str());
            let list = if is_call {
                &mut call_classes
            } else {
                &mut chat_classes
            };
            list.push(ClassLoad {
                name: name.to_string(),
                weight: 1,
                repeatable: targets.repeatable,
            });
            classes.push((name, targets));
        }
        Ok(DeploymentSettings {
            fleet: FleetSettings {
                region: string_setting(&router, "region")?,
                zones: self.zones().map(str::to_owned).to_vec(),
                service_pool: string_setting(&service, "pool")?,
                classes,
                router_lines: remaining_settings(&router)?,
                side_lines: remaining_settings(&engine)?,
                ..FleetSettings::default()
            },
            chat_classes,
            call_classes,
        })
    }
}

fn read_text(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

/// Reads the table of `role` from a daemon's settings file.
fn read_table(path: &Path, role: &str) -> anyhow::Result<Table> {
    let file: Table = toml::from_str(&read_text(path)?)
        .with_context(|| format!("{} is malformed", path.display()))?;
    let table = file.get(role).and_then(|value| value.as_table());
    table
        .cloned()
        .with_context(|| format!("{} has no table [{role}]", path.display()))
}

fn string_setting(table: &Table, key: &str) -> anyhow::Result<String> {
    let value = table.get(key).and_then(|value| value.as_str());
    value
        .map(str::to_owned)
        .with_context(|| format!("settings have no text value for {key:?}"))
}

/// The settings other than [`REPLACED_KEYS`], as TOML lines.
fn remaining_settings(table: &Table) -> anyhow::Result<Vec<String>> {
    let mut rest = table.clone();
    for key in REPLACED_KEYS {
        rest.remove(key);
    }
    Ok(toml::to_string(&rest)?.lines().map(str::to_owned).collect())
}
