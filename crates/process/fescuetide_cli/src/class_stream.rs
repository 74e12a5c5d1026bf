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

/// A change from the log with its offset and verdict.
#[derive(Clone, Debug)]
pub(crate) struct FoldedChange {
    pub(crate) offset: LogOffset,
    pub(crate) change: ClassChange,
    pub(crate) verdict: ChangeVerdict,
}

/// The class stream, folded as far as it has been read.
#[derive(Debug)]
pub(crate) struct ClassStream<'a> {
    context: &'a ToolContext,
    follower: ClassFollower,
    history: Vec<FoldedChange>,
}

impl<'a> ClassStream<'a> {
    /// Reads the stream from its oldest record to its end.
    ///
    /// # Errors
    ///
    /// Fails if the log service does not answer, or if the log has a gap that no router's class table covers.
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

    pub(crate) fn history(&self) -> &[FoldedChange] {
        &self.history
    }

    /// Reads to the end of the stream. A gap in the log is filled once, from the newest class table of the routers.
    fn catch_up(&mut self) -> anyhow::Result<()> {
        let mut queried_routers = false;
        loop {
            let offset = self.follower.read_offset();
            let reply = self
                .context
                .log
                .read(CLASS_STREAM, offset, READ_LIMIT_RECORDS)
                .with_context(|| format!("log service at {}", self.context.settings.log_url))?;
            let report = self.follower.fold(&reply.to_page(offset));
            for (offset, change, verdict) in report.verdicts {
                self.history.push(FoldedChange {
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
                        "the log has lost records and no live router returned its class table"
                    )
                }
                FollowPosition::Regressed => {
                    anyhow::bail!("the log ends below offset {offset}: it has lost records")
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

    /// Appends a change once and reads its verdict.
    ///
    /// After an error the stream is searched for the change id before the change is appended again, since the log may
    /// have stored it although the reply was lost.
    ///
    /// # Errors
    ///
    /// Fails if the log service does not answer in time. The message says whether the change may be in the log.
    pub(crate) fn append(&mut self, change: &ClassChange) -> anyhow::Result<FoldedChange> {
        let start = Instant::now();
        let record = ClassRecord::Change(ChangeWire::from(change.clone()));
        let mut maybe_appended = false;
        loop {
            let error = match self.context.log.append(CLASS_STREAM, &record) {
                Ok(_) => return self.wait_for_verdict(change, start),
                Err(error) => error,
            };
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
            if let Some(folded) = self.find(change.id) {
                return Ok(folded);
            }
        }
    }

    /// Reads the stream until it contains the appended change.
    fn wait_for_verdict(
        &mut self,
        change: &ClassChange,
        start: Instant,
    ) -> anyhow::Result<FoldedChange> {
        loop {
            let result = self.catch_up();
            if let Some(folded) = self.find(change.id) {
                return Ok(folded);
            }
            if start.elapsed() >= APPEND_TIMEOUT {
                result?;
                anyhow::bail!("change {} was appended, but cannot be read", change.id);
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    fn find(&self, id: ChangeId) -> Option<FoldedChange> {
        self.history
            .iter()
            .find(|folded| folded.change.id == id)
            .cloned()
    }
}
