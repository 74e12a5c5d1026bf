//! Reads the class stream of the log service and appends changes to it.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use fescuetide_base::ChangeId;
use fescuetide_base::ClassName;
use fescuetide_base::ClassVersion;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_classes::ChangeAction;
use fescuetide_classes::ChangeVerdict;
use fescuetide_classes::ClassChange;
use fescuetide_classes::ClassFollower;
use fescuetide_classes::ClassTable;
use fescuetide_classes::FollowPosition;
use fescuetide_net::PlatformError;
use fescuetide_wire::log::CLASS_STREAM;
use fescuetide_wire::log::ChangeWire;
use fescuetide_wire::log::ClassRecord;

use crate::context::ToolContext;
use crate::fleet;

/// Maximum number of records per read.
const READ_LIMIT_RECORDS: u32 = 1_000;

/// How long an append is retried after errors and lost replies.
const APPEND_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay before the log is accessed again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A change from the log with its offset and its verdict: whether it took effect (accepted), had no effect (rejected,
/// with the reasons) or is a duplicate of an earlier change. Every reader of the log evaluates the changes in log order,
/// so all of them reach the same verdict.
#[derive(Clone, Debug)]
pub(crate) struct AppliedChange {
    pub(crate) offset: LogOffset,
    pub(crate) change: ClassChange,
    pub(crate) verdict: ChangeVerdict,
}

/// The class stream and the class table that results from applying the changes read so far.
#[derive(Debug)]
pub(crate) struct ClassStream<'a> {
    context: &'a ToolContext,
    follower: ClassFollower,
    history: Vec<AppliedChange>,
}

impl<'a> ClassStream<'a> {
    /// Reads the stream from its oldest record to its end.
    ///
    /// # Errors
    ///
    /// Fails if the log service does not answer, or if records have expired that no router's class table includes.
    pub(crate) fn read(context: &'a ToolContext) -> anyhow::Result<Self> {
        let mut stream = Self {
            context,
            follower: ClassFollower::from_oldest(),
            history: Vec::new(),
        };
        stream.catch_up()?;
        Ok(stream)
    }

    pub(crate) fn table(&self) -> &ClassTable {
        self.follower.table()
    }

    pub(crate) fn first_offset(&self) -> LogOffset {
        self.follower.first_offset()
    }

    pub(crate) fn history(&self) -> &[AppliedChange] {
        &self.history
    }

    /// Reads to the end of the stream. If the records at the read offset have expired, continues from the newest class
    /// table of the routers, at most once per call.
    fn catch_up(&mut self) -> anyhow::Result<()> {
        let mut queried_routers = false;
        loop {
            let offset = self.follower.read_offset();
            let reply = self
                .context
                .log
                .read(CLASS_STREAM, offset, READ_LIMIT_RECORDS)
                .with_context(|| format!("log service at {}", self.context.settings.log_url))?;
            let report = self.follower.apply(&reply.to_page(offset));
            for (offset, change, verdict) in report.verdicts {
                self.history.push(AppliedChange {
                    offset,
                    change,
                    verdict,
                });
            }
            match report.position {
                FollowPosition::Current => return Ok(()),
                FollowPosition::Behind => {}
                FollowPosition::Gap if !queried_routers => {
                    queried_routers = true;
                    if let Some(snapshot) = fleet::newest_class_snapshot(self.context)? {
                        self.follower.restore_from_peer(snapshot);
                    }
                }
                FollowPosition::Gap => {
                    anyhow::bail!(
                        "log records at offset {offset} have expired, and no live router returned a class table that includes them"
                    )
                }
                FollowPosition::Regressed => {
                    anyhow::bail!(
                        "the log ends below offset {offset}, the next one to read: the log has lost records"
                    )
                }
            }
        }
    }

    /// Creates a change of `class`, based on the version in force unless `based_on` is given.
    pub(crate) fn new_change(
        &self,
        class: &ClassName,
        action: ChangeAction,
        based_on: Option<ClassVersion>,
    ) -> ClassChange {
        ClassChange {
            id: ChangeId::generate(),
            class: class.clone(),
            based_on: based_on.unwrap_or_else(|| self.table().version_of(class)),
            action,
            author: self.context.settings.author.clone(),
            at: ClockMillis::now(),
        }
    }

    /// Appends a change and reads its verdict. Retries after errors.
    ///
    /// The log may have stored the change although the reply was lost. Before each retry, the stream is searched for
    /// the change id, and the change is appended again only if it is not found.
    ///
    /// # Errors
    ///
    /// Fails if the log service does not answer in time. The message says whether the change may be in the log.
    pub(crate) fn append(&mut self, change: &ClassChange) -> anyhow::Result<AppliedChange> {
        let start = Instant::now();
        let record = ClassRecord::Change(ChangeWire::from(change.clone()));
        let mut maybe_appended = false;
        loop {
            let error = match self.context.log.append(CLASS_STREAM, &record) {
                Ok(_) => return self.wait_for_verdict(change, start),
                Err(error) => error,
            };
            // An error status means that the log did not store the change. After an `Http` error, it may have.
            maybe_appended |= matches!(error, PlatformError::Http(_));
            loop {
                if start.elapsed() >= APPEND_TIMEOUT {
                    let state = if maybe_appended {
                        "may be in the log; look for it with `class history`"
                    } else {
                        "is not in the log"
                    };
                    return Err(error).context(format!("change {} {state}", change.id));
                }
                thread::sleep(RETRY_INTERVAL);
                if self.catch_up().is_ok() {
                    break;
                }
            }
            if let Some(applied) = self.find(change.id) {
                return Ok(applied);
            }
        }
    }

    /// Reads the stream until it contains the appended change.
    fn wait_for_verdict(
        &mut self,
        change: &ClassChange,
        start: Instant,
    ) -> anyhow::Result<AppliedChange> {
        loop {
            let result = self.catch_up();
            if let Some(applied) = self.find(change.id) {
                return Ok(applied);
            }
            if start.elapsed() >= APPEND_TIMEOUT {
                result?;
                anyhow::bail!("change {} was appended, but cannot be read", change.id);
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    fn find(&self, id: ChangeId) -> Option<AppliedChange> {
        self.history
            .iter()
            .find(|applied| applied.change.id == id)
            .cloned()
    }
}
