//! Settings and platform clients of the tool.

use std::path::Path;

use anyhow::Context;
use fescuetide_base::FindingList;
use fescuetide_base::SpanMillis;
use fescuetide_members::VmEntry;
use fescuetide_net::ControlMeter;
use fescuetide_net::LogClient;
use fescuetide_net::VmListClient;
use fescuetide_net::VmListReply;
use fescuetide_settings::SettingsDocument;
use serde::Deserialize;
use tokio::runtime::Runtime;

use crate::arguments::CommandArguments;
use crate::report::ToolError;

/// Timeout of a call to the log service or the VM list.
const PLATFORM_TIMEOUT_MS: u64 = 3_000;

/// Settings file that is read, if it exists, when `--config` is not given.
const DEFAULT_SETTINGS_FILE: &str = "fescuetide.toml";

/// Name under which the tool reads the VM list.
const READER_NAME: &str = "operators";

/// Settings file of the tool.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct ToolSettings {
    /// Base URL of the log service.
    pub(crate) log_url: String,
    /// Base URL of the VM list.
    pub(crate) vm_list_url: String,
    /// Name of the operator, recorded with each change.
    pub(crate) author: String,
}

impl Default for ToolSettings {
    fn default() -> Self {
        Self {
            log_url: "http://127.0.0.1:7000".to_owned(),
            vm_list_url: "http://127.0.0.1:7001".to_owned(),
            author: std::env::var("USER").unwrap_or_else(|_| "operator".to_owned()),
        }
    }
}

/// Settings, clients and async runtime that commands share.
#[derive(Debug)]
pub(crate) struct ToolContext {
    pub(crate) settings: ToolSettings,
    pub(crate) log: LogClient,
    pub(crate) runtime: Runtime,
    vms: VmListClient,
}

impl ToolContext {
    pub(crate) fn new(arguments: &CommandArguments) -> Result<Self, ToolError> {
        let settings = load_settings(arguments)?;
        let timeout = SpanMillis::new(PLATFORM_TIMEOUT_MS);
        let meter = ControlMeter::default();
        let reader = READER_NAME.parse().context("reader name")?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("cannot start the runtime")?;
        Ok(Self {
            log: LogClient::new(settings.log_url.clone(), timeout, meter.clone()),
            vms: VmListClient::new(settings.vm_list_url.clone(), reader, timeout, meter),
            settings,
            runtime,
        })
    }

    /// Reads the VM list.
    pub(crate) fn read_vms(&self) -> anyhow::Result<Vec<VmEntry>> {
        let reply = self
            .vms
            .read(0)
            .with_context(|| format!("VM list at {}", self.settings.vm_list_url))?;
        match reply {
            VmListReply::Changed { list, .. } => Ok(list),
            VmListReply::Unchanged => Ok(Vec::new()),
        }
    }
}

/// Loads the settings file, then applies the URLs given on the command line.
fn load_settings(arguments: &CommandArguments) -> Result<ToolSettings, ToolError> {
    let path = match arguments.option("config") {
        Some(path) => Some(path),
        None => Path::new(DEFAULT_SETTINGS_FILE)
            .exists()
            .then_some(DEFAULT_SETTINGS_FILE),
    };
    let mut settings = ToolSettings::default();
    if let Some(path) = path {
        let mut document = SettingsDocument::load(Path::new(path))?;
        settings = document.read_table("");
        let mut list = FindingList::default();
        list.check_url("log_url", &settings.log_url);
        list.check_url("vm_list_url", &settings.vm_list_url);
        document.extend("", &list);
        document.finish()?;
    }
    let mut list = FindingList::default();
    if let Some(url) = arguments.option("log-url") {
        list.check_url("--log-url", url);
        settings.log_url = url.to_owned();
    }
    if let Some(url) = arguments.option("vm-list-url") {
        list.check_url("--vm-list-url", url);
        settings.vm_list_url = url.to_owned();
    }
    list.into_result(settings).map_err(ToolError::from)
}
