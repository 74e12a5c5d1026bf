//! Records of crash reports in the platform's log.

use fescuetide_base::ClockMillis;
use fescuetide_limits::CrashCount;
use fescuetide_limits::CrashEvidence;
use fescuetide_limits::CrashFingerprint;
use serde::Deserialize;
use serde::Serialize;

use crate::rpc::ends_from_wire;
use crate::rpc::ends_to_wire;

/// Separates the fingerprint from the name of the reporting gateway in a record's key.
const KEY_SEPARATOR: char = '/';

/// The value of a crash report: what one gateway knows about a request that was running on upstreams that crashed. The
/// record's key has the fingerprint of the request and the gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The crashes so far, counted as [`CrashCount`] says.
    pub crashes: u32,
    /// How many of the crashes do not count, because the request completed after them.
    pub cleared: u32,
    /// Number of times that the request completed after upstreams ended under it.
    pub clears: u32,
    /// The ids of the upstreams' lives that ended since then.
    pub ends: Vec<u32>,
    /// When the report expires, in milliseconds since the Unix epoch. It is kept for minutes, so that it does not matter
    /// that the clocks of gateways differ by seconds.
    pub until_ms: u64,
}

impl CrashRecord {
    /// Creates the record of what is known at `now`.
    pub fn new(evidence: &CrashEvidence, now: ClockMillis) -> Self {
        Self {
            crashes: evidence.crashes.get(),
            cleared: evidence.cleared.get(),
            clears: evidence.ends.clears(),
            ends: ends_to_wire(&evidence.ends),
            until_ms: (now + evidence.left).as_millis(),
        }
    }

    /// Returns the key of the record that `gateway` writes about a request.
    pub fn key(fingerprint: CrashFingerprint, gateway: &str) -> String {
        format!("{fingerprint}{KEY_SEPARATOR}{gateway}")
    }

    /// Returns the fingerprint in a record's key.
    pub fn fingerprint(key: &str) -> Option<CrashFingerprint> {
        let (fingerprint, _) = key.split_once(KEY_SEPARATOR)?;
        fingerprint.parse().ok()
    }

    /// Returns what the record says at `now` about the request with the fingerprint in its key, or `None` if it has
    /// expired.
    pub fn evidence(
        &self,
        fingerprint: CrashFingerprint,
        now: ClockMillis,
    ) -> Option<CrashEvidence> {
        let until = ClockMillis::new(self.until_ms);
        (now < until).then(|| CrashEvidence {
            fingerprint,
            crashes: CrashCount::new(self.crashes),
            cleared: CrashCount::new(self.cleared),
            ends: ends_from_wire(self.clears, &self.ends),
            left: until.since(now),
        })
    }
}
