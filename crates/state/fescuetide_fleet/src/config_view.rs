//! How recent a gateway's configuration is, by its own reads of the log and those of its peers.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

use crate::ConfigVersion;
use crate::listing::due_after;

/// A configuration, reduced to its version, and when the log had no newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigNews {
    /// The version.
    pub version: ConfigVersion,
    /// Time since the log was read with this result.
    pub age: SpanMillis,
}

/// What the news of a peer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigVerdict {
    /// The peer has the same version and read the log later, which says as much as an own read.
    Confirmed,
    /// The peer has a newer version that no other news was about, so the log is to be read.
    Newer,
    /// The news change nothing.
    Known,
}

/// When this gateway's configuration was last known to be the newest in the log.
///
/// One gateway, the watcher, waits at the log for a newer configuration and tells all others of it. The others read the log only if
/// nobody has told them for some time that their version is the newest, so no configuration is seen later than if each read the
/// log by itself at these intervals.
#[derive(Clone, Copy, Debug)]
pub struct ConfigView {
    version: Option<ConfigVersion>,
    confirmed_at: ClockMillis,
    /// A newer version that a peer has told of, until the log was read.
    told: Option<ConfigVersion>,
    /// The newest version that a peer has told of and the log did not have.
    disproved: Option<ConfigVersion>,
    is_watcher: bool,
}

impl Default for ConfigView {
    /// The view of a gateway that knows of no other, and so watches the log itself.
    fn default() -> Self {
        Self {
            version: None,
            confirmed_at: ClockMillis::default(),
            told: None,
            disproved: None,
            is_watcher: true,
        }
    }
}

impl ConfigView {
    /// Sets whether this gateway is the watcher.
    pub fn set_watcher(&mut self, is_watcher: bool) {
        self.is_watcher = is_watcher;
    }

    /// Whether this gateway waits at the log for a newer configuration. One without a configuration does.
    pub fn watches(&self) -> bool {
        self.is_watcher || self.version.is_none()
    }

    /// Whether this gateway is the one that tells others of newer configurations.
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Records the newest version after a read of the log, at whose time `read_at` there was no other.
    pub fn note_read(&mut self, version: Option<ConfigVersion>, read_at: ClockMillis) {
        if let Some(told) = self.told.take()
            && version.is_none_or(|version| version < told)
        {
            self.disproved = Some(told);
        }
        self.version = version;
        self.confirmed_at = read_at;
    }

    /// Records what a peer has read.
    pub fn note_peer(&mut self, news: ConfigNews, now: ClockMillis) -> ConfigVerdict {
        let Some(version) = self.version else {
            return ConfigVerdict::Known;
        };
        let known = [Some(version), self.told, self.disproved];
        if Some(news.version) > known.into_iter().max().flatten() {
            self.told = Some(news.version);
            return ConfigVerdict::Newer;
        }
        if self.told.is_some() {
            return ConfigVerdict::Known;
        }
        let read_at = ClockMillis::new(now.as_millis().saturating_sub(news.age.as_millis()));
        if news.version != version || read_at <= self.confirmed_at {
            return ConfigVerdict::Known;
        }
        self.confirmed_at = read_at;
        ConfigVerdict::Confirmed
    }

    /// What to tell peers, `None` without a configuration.
    pub fn news(&self, now: ClockMillis) -> Option<ConfigNews> {
        Some(ConfigNews {
            version: self.version?,
            age: now.since(self.confirmed_at),
        })
    }

    /// When the log is to be read again. `pause` is the longest time between reads, and `draw` a random number. A version that a peer has
    /// told of is read at once, and again until the log answers.
    pub fn due_at(&self, pause: SpanMillis, draw: u64) -> ClockMillis {
        if self.told.is_some() {
            return self.confirmed_at;
        }
        due_after(self.confirmed_at, pause, draw)
    }
}
