//! Parsing and validation of TOML settings. All errors are reported together, each with its line and key.
//!
//! ```
//! use fescuetide_settings::SettingsDocument;
//! use serde::Deserialize;
//!
//! #[derive(Default, Deserialize)]
//! #[serde(default, deny_unknown_fields)]
//! struct Retries {
//!     count: u32,
//!     wait_ms: u64,
//! }
//!
//! let mut document = SettingsDocument::parse("a.toml", "[retries]\ncount = \"x\"\nwait = 5\n");
//! let retries: Retries = document.read_table("retries");
//! assert_eq!(retries.count, 0);
//! let findings = document.finish().unwrap_err();
//! assert_eq!(findings.iter().count(), 2);
//! ```

mod document;

pub use document::SettingsDocument;
