//! Blocking HTTP clients of the log service and the VM list, which the hosting platform provides.

use std::fmt;

use fescuetide_base::FindingList;
use fescuetide_base::LogOffset;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_members::VmEntry;
use fescuetide_wire::log::AppendReply;
use fescuetide_wire::log::ReadReply;
use fescuetide_wire::vms::VmListWire;
use serde::Serialize;
use ureq::Agent;

use crate::ControlMeter;
use crate::http::metered_agent;

/// The error of a failed call to a platform service.
#[derive(Debug)]
pub enum PlatformError {
    /// The call failed without a valid response. It may have taken effect, so an append may have been applied.
    Http(ureq::Error),
    /// The service returned an error status. The call had no effect.
    Status(u16),
    /// The response contains invalid values.
    InvalidResponse(FindingList),
    /// The record could not be serialized to JSON.
    Serialize(serde_json::Error),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Http(error) => write!(f, "HTTP request failed: {error}"),
            Self::Status(status) => write!(f, "service returned HTTP status {status}"),
            Self::InvalidResponse(list) => write!(f, "invalid response: {list}"),
            Self::Serialize(error) => write!(f, "failed to serialize the record to JSON: {error}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// The error of a response that is no success. A status that is none says nothing about the call.
fn error_of_status(status: u16) -> PlatformError {
    match status {
        200..=599 => PlatformError::Status(status),
        _ => PlatformError::Http(ureq::Error::StatusCode(status)),
    }
}

impl From<ureq::Error> for PlatformError {
    fn from(error: ureq::Error) -> Self {
        Self::Http(error)
    }
}

/// A client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    agent: Agent,
    base_url: String,
}

impl LogClient {
    /// Creates a client for the service at `base_url`, for example `http://10.0.0.9:7000`.
    pub fn new(base_url: impl Into<String>, timeout: SpanMillis, meter: ControlMeter) -> Self {
        Self {
            agent: metered_agent(meter, timeout),
            base_url: base_url.into(),
        }
    }

    /// Appends a record as JSON and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an error if the append was not confirmed. After [`PlatformError::Http`], the record may still have been
    /// appended; read the stream to find out.
    pub fn append<T: Serialize>(
        &self,
        stream: &str,
        record: &T,
    ) -> Result<LogOffset, PlatformError> {
        let text = serde_json::to_string(record).map_err(PlatformError::Serialize)?;
        let url = format!("{}/streams/{stream}", self.base_url);
        let mut response = self.agent.post(url).send(text)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(error_of_status(status));
        }
        let reply: AppendReply = response.body_mut().read_json()?;
        Ok(LogOffset::new(reply.offset))
    }

    /// Reads up to `limit` records, starting at offset `from`.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not respond in time, or responds with an error status or an invalid body.
    pub fn read(
        &self,
        stream: &str,
        from: LogOffset,
        limit: u32,
    ) -> Result<ReadReply, PlatformError> {
        let url = format!(
            "{}/streams/{stream}?from={from}&limit={limit}",
            self.base_url
        );
        let mut response = self.agent.get(url).call()?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(error_of_status(status));
        }
        Ok(response.body_mut().read_json()?)
    }
}

/// The result of reading the VM list.
#[derive(Clone, Debug)]
pub enum VmListReply {
    /// The list still has the version that the reader knows.
    Unchanged,
    /// The list has changed.
    Changed {
        /// The version of the new list.
        version: u64,
        /// The entries of the new list.
        list: Vec<VmEntry>,
    },
}

/// A client of the VM list.
#[derive(Clone, Debug)]
pub struct VmListClient {
    agent: Agent,
    base_url: String,
    reader: VmName,
}

impl VmListClient {
    /// Creates a client that reads the list from the service at `base_url` and identifies itself as `reader`.
    pub fn new(
        base_url: impl Into<String>,
        reader: VmName,
        timeout: SpanMillis,
        meter: ControlMeter,
    ) -> Self {
        Self {
            agent: metered_agent(meter, timeout),
            base_url: base_url.into(),
            reader,
        }
    }

    /// Reads the list if its version differs from `known_version`.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not respond in time, or if the response or an entry is invalid.
    pub fn read(&self, known_version: u64) -> Result<VmListReply, PlatformError> {
        let url = format!(
            "{}/vms?reader={}&version={known_version}",
            self.base_url, self.reader
        );
        let mut response = self.agent.get(url).call()?;
        match response.status().as_u16() {
            200 => {}
            304 => return Ok(VmListReply::Unchanged),
            status => return Err(error_of_status(status)),
        }
        let wire: VmListWire = response.body_mut().read_json()?;
        let mut list = Vec::with_capacity(wire.vms.len());
        let mut findings = FindingList::default();
        for vm in wire.vms {
            match VmEntry::try_from(vm) {
                Ok(entry) => list.push(entry),
                Err(found) => findings.extend(found),
            }
        }
        findings
            .into_result(VmListReply::Changed {
                version: wire.version,
                list,
            })
            .map_err(PlatformError::InvalidResponse)
    }
}
