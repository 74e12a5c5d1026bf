//! History of a request, collected for its record.

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_records::AttemptRecord;
use fescuetide_records::AttemptResult;
use fescuetide_records::RecordOutcome;
use fescuetide_records::RequestRecord;

use super::CallMetadata;

/// The attempts of a request and the time to its first response data.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallHistory {
    attempts: Vec<AttemptRecord>,
    time_to_first_data: Option<SpanMillis>,
}

impl CallHistory {
    /// Adds an attempt. It counts as lost until its result is recorded.
    pub(crate) fn note_sent(&mut self, attempt: AttemptId, vm: &VmName, now: ClockMillis) {
        self.attempts.push(AttemptRecord {
            attempt,
            vm: vm.clone(),
            started: now,
            span: SpanMillis::default(),
            result: AttemptResult::Lost("no result".to_owned()),
        });
    }

    /// Records the result of an attempt.
    pub(crate) fn note_result(
        &mut self,
        attempt: AttemptId,
        result: AttemptResult,
        now: ClockMillis,
    ) {
        for record in &mut self.attempts {
            if record.attempt != attempt {
                continue;
            }
            record.span = now.since(record.started);
            record.result = result;
            return;
        }
    }

    /// Removes an attempt that was only a probe.
    pub(crate) fn remove(&mut self, attempt: AttemptId) {
        self.attempts.retain(|record| record.attempt != attempt);
    }

    /// Records the arrival of response data. Only the first call has an effect.
    pub(crate) fn note_data(&mut self, metadata: &CallMetadata, now: ClockMillis) {
        if self.time_to_first_data.is_none() {
            self.time_to_first_data = Some(now.since(metadata.received));
        }
    }

    /// Builds the record of the request, which ends at `now`.
    pub(crate) fn finish(
        &mut self,
        router: &VmName,
        metadata: &CallMetadata,
        outcome: RecordOutcome,
        reason: &str,
        now: ClockMillis,
    ) -> RequestRecord {
        RequestRecord {
            request: metadata.request,
            router: router.clone(),
            workspace: metadata.workspace.clone(),
            class: metadata.class.clone(),
            pool: metadata.pool.clone(),
            received: metadata.received,
            first_part: self.time_to_first_data,
            span: now.since(metadata.received),
            outcome,
            reason: reason.to_owned(),
            attempts: std::mem::take(&mut self.attempts),
        }
    }
}
