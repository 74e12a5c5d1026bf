//! Checks of each response of the log for a restore from an older copy.

use fescuetide_base::LogOffset;
use fescuetide_fleet::EraTracker;
use fescuetide_fleet::EraVerdict;
use fescuetide_http1::ResponseHead;

use crate::codec::FleetStream;
use crate::codec::RecordCodec;
use crate::counters::count;
use crate::follower::FleetPublisher;
use crate::log_client::CallError;

/// Compares the eras in the responses to one reader or writer of a log stream.
#[derive(Debug)]
pub(crate) struct EraWatch {
    stream: FleetStream,
    tracker: EraTracker,
    /// Whether a defect of the era was logged.
    has_logged_defect: bool,
    was_restored: bool,
}

impl EraWatch {
    pub(crate) fn new(stream: FleetStream) -> Self {
        Self {
            stream,
            tracker: EraTracker::default(),
            has_logged_defect: false,
            was_restored: false,
        }
    }

    /// Whether the log may have come back from an older copy since the first response.
    pub(crate) fn was_restored(&self) -> bool {
        self.was_restored
    }

    /// Checks the head of a response, if there was one. `position` is where the reader would go on.
    ///
    /// # Errors
    ///
    /// Fails if the log may have come back from an older copy. The position is not valid then, nor what the response says
    /// about it.
    pub(crate) fn check<C: RecordCodec>(
        &mut self,
        head: Option<ResponseHead>,
        codec: &C,
        position: Option<LogOffset>,
        publisher: &FleetPublisher,
    ) -> Result<(), CallError> {
        let Some(head) = head else {
            return Ok(());
        };
        match self.tracker.note(codec.era_field(&head)) {
            EraVerdict::Unchanged => return Ok(()),
            EraVerdict::Restored { before, after } => {
                count(&publisher.counters.log_restores);
                tracing::warn!(
                    stream = %self.stream,
                    era_before = before.map(|era| era.get()),
                    era = after.get(),
                    position = position.map(|offset| offset.get()),
                    "log service is back from an older copy"
                );
            }
            EraVerdict::Doubtful(defect) => {
                if !self.has_logged_defect {
                    self.has_logged_defect = true;
                    tracing::warn!(
                        stream = %self.stream,
                        %defect,
                        "cannot tell whether the log lost records, listing them anew"
                    );
                }
            }
        }
        publisher.note_restore();
        self.was_restored = true;
        // Ends reads that wait for records, whose position is not valid either.
        publisher.outages.increment();
        Err(CallError::Restored)
    }
}
