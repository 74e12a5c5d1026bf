//! Reads the class stream and appends changes to it.

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

/// Most records of one read.
const READ_LIMIT_RECORDS: u32 = 1_000;

/// How long an append is tried again after lost replies and errors.
const APPEND_LIMIT: Duration = Duration::from_secs(15);

/// Wait before the log is read or written again after an error.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// A change with its verdict.
#[derive(Clone, Debug)]
pub(crate) struct FoldedChange {
    pub(crate) offset: LogOffset,
    pub(crate) change: ClassChange,
    pub(crate) verdict: ChangeVerdict,
}

/// The class stream as read so far.
#[derive(Debug)]
pub(crate) struct ClassStream<'a> {
    context: &'a ToolContext,
    follower: ClassFollower,
    history: Vec<FoldedChange>,
}

impl<'a> ClassStream<'a> {
    /// Reads the stream to its end.
    ///
    /// # Errors
    ///
    /// Fails when the log does not answer, or has a gap that no router's table fills.
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

    fn catch_up(&mut self) -> anyhow::Result<()> {
        let mut asked_routers = false;
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
                FollowPosition::Gap if !asked_routers => {
                    asked_routers = true;
                    if let Some(snapshot) = fleet::newest_table(self.context)? {
                        self.follower.restore_from_peer(snapshot);
                    }
                }
                FollowPosition::Gap => {
                    anyhow::bail!("the log has lost records and no router has their table")
                }
                FollowPosition::Regressed => {
                    anyhow::bail!("the log ends below offset {offset}: it has lost records")
                }
            }
        }
    }

    /// A new change of `class`. Without `based_on` it is based on the version in force.
    pub(crate) fn make_change(
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
    /// After a lost reply the change id is looked up in the log before the change is appended again.
    ///
    /// # Errors
    ///
    /// Fails when the log does not answer in time; the message says whether the change may be in the log.
    pub(crate) fn append(&mut self, change: &ClassChange) -> anyhow::Result<FoldedChange> {
        let start = Instant::now();
        let record = ClassRecord::Change(ChangeWire::from(change.clone()));
        let mut maybe_appended = false;
        loop {
            let error = match self.context.log.append(CLASS_STREAM, &record) {
                Ok(_) => return self.read_verdict(change, start),
                Err(error) => error,
            };
            maybe_appended |= matches!(error, PlatformError::Http(_));
            loop {
                if start.elapsed() >= APPEND_LIMIT {
                    let state = if maybe_appended {
                        "may be in the log; look for it with `class history`"
                    } else {
                        "is not in the log"
                    };
                    return Err(error).context(format!("change {} {state}", change.id));
                }
                thread::sleep(RETRY_WAIT);
                if self.catch_up().is_ok() {
                    break;
                }
            }
            if let Some(folded) = self.find(change.id) {
                return Ok(folded);
            }
        }
    }

    fn read_verdict(
        &mut self,
        change: &ClassChange,
        start: Instant,
    ) -> anyhow::Result<FoldedChange> {
        loop {
            let result = self.catch_up();
            if let Some(folded) = self.find(change.id) {
                return Ok(folded);
            }
            if start.elapsed() >= APPEND_LIMIT {
                result?;
                anyhow::bail!("change {} was appended, but cannot be read", change.id);
            }
            thread::sleep(RETRY_WAIT);
        }
    }

    fn find(&self, id: ChangeId) -> Option<FoldedChange> {
        self.history
            .iter()
            .find(|folded| folded.change.id == id)
            .cloned()
    }
}
