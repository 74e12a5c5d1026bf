//! What happened to a request, noted while it runs.

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_records::AttemptRecord;
use fescuetide_records::AttemptResult;
use fescuetide_records::RecordOutcome;
use fescuetide_records::RequestRecord;

use crate::call::CallSpec;

/// The attempts of a request so far.
#[derive(Debug, Default)]
pub(crate) struct CallHistory {
    attempts: Vec<AttemptRecord>,
    first_part: Option<SpanMillis>,
}

impl CallHistory {
    /// Notes that an attempt was sent. It counts as lost until its result is noted.
    pub(crate) fn note_sent(&mut self, attempt: AttemptId, vm: &VmName) {
        self.attempts.push(AttemptRecord {
            attempt,
            vm: vm.clone(),
            started: ClockMillis::now(),
            span: SpanMillis::default(),
            result: AttemptResult::Lost("no result".to_owned()),
        });
    }

    /// Notes how an attempt ended.
    pub(crate) fn note_result(&mut self, attempt: AttemptId, result: AttemptResult) {
        for record in &mut self.attempts {
            if record.attempt != attempt {
                continue;
            }
            record.span = ClockMillis::now().since(record.started);
            record.result = result;
            return;
        }
    }

    /// Takes back an attempt that was only a question.
    pub(crate) fn forget(&mut self, attempt: AttemptId) {
        self.attempts.retain(|record| record.attempt != attempt);
    }

    /// Notes the arrival of a part of the response. Only the first one counts.
    pub(crate) fn note_part(&mut self, spec: &CallSpec) {
        if self.first_part.is_none() {
            self.first_part = Some(ClockMillis::now().since(spec.received));
        }
    }

    /// The record of the request, which has ended now.
    pub(crate) fn finish(
        &mut self,
        router: &VmName,
        spec: &CallSpec,
        outcome: RecordOutcome,
        reason: &str,
    ) -> RequestRecord {
        RequestRecord {
            request: spec.request,
            router: router.clone(),
            workspace: spec.workspace.clone(),
            class: spec.class.clone(),
            pool: spec.pool.clone(),
            received: spec.received,
            first_part: self.first_part,
            span: ClockMillis::now().since(spec.received),
            outcome,
            reason: reason.to_owned(),
            attempts: std::mem::take(&mut self.attempts),
        }
    }
}
