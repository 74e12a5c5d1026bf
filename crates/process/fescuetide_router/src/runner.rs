//! Executes the steps of one request.
//!
//! `CallFlow` is the state machine that decides the next step of a request. It performs no I/O; the runner executes its
//! steps and reports the results back.

use std::sync::Arc;

use fescuetide_base::AttemptId;
use fescuetide_base::ClaimId;
use fescuetide_base::ClockMillis;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ProcessInstance;
use fescuetide_flow::AttemptUpdate;
use fescuetide_flow::CallEnd;
use fescuetide_flow::CallFlow;
use fescuetide_flow::CallOffer;
use fescuetide_flow::CallStep;
use fescuetide_flow::CallTables;
use fescuetide_flow::CallView;
use fescuetide_flow::ClaimCommand;
use fescuetide_flow::KeyQuery;
use fescuetide_flow::UpdateAction;
use fescuetide_members::VmEntry;
use fescuetide_net::SideConnection;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::TokenUsage;
use fescuetide_wire::claim::ClaimReply;
use fescuetide_wire::frame::AttemptTag;
use fescuetide_wire::frame::DispatchFrame;
use fescuetide_wire::frame::PrefixSource;
use tokio::time;

use crate::RouterShared;
use crate::attempt::AttemptEvent;
use crate::attempt::LiveAttempt;
use crate::call::CallEvent;
use crate::call::CallResult;
use crate::call::CallSpec;
use crate::key_query;

/// Runs a request to its end. Dropping the runner abandons the request.
pub(crate) struct CallRunner {
    shared: Arc<RouterShared>,
    spec: CallSpec,
    flow: CallFlow,
    attempt: Option<LiveAttempt>,
    /// The connection opened ahead of a claim, since the claim names the incarnation of the side process it is for.
    opened: Option<SideConnection>,
    /// The response bytes already passed to the caller. A later attempt continues after them.
    delivered: Vec<u8>,
    usage: TokenUsage,
    has_ended: bool,
}

impl CallRunner {
    pub(crate) fn new(shared: Arc<RouterShared>, spec: CallSpec) -> Self {
        let metadata = spec.metadata();
        let flow =
            shared.with_tables(|tables, view, now| CallFlow::new(metadata, tables, view, now));
        Self {
            shared,
            spec,
            flow,
            attempt: None,
            opened: None,
            delivered: Vec::new(),
            usage: TokenUsage::default(),
            has_ended: false,
        }
    }

    pub(crate) fn spec(&self) -> &CallSpec {
        &self.spec
    }

    /// Waits for the next event. Must not be called again after [`CallEvent::End`].
    pub(crate) async fn next(&mut self) -> CallEvent {
        loop {
            match self.with_flow(CallFlow::step) {
                CallStep::Wait(until) => {
                    let wait = until.since(ClockMillis::now());
                    time::sleep(wait.into()).await;
                }
                CallStep::Connect(vm) => self.connect(&vm).await,
                CallStep::Claim(command) => self.claim(command).await,
                CallStep::QueryKey(query) => self.query_key(&query).await,
                // An offer is an attempt that the flow has planned for one VM.
                CallStep::Offer(offer) => self.dispatch(*offer).await,
                CallStep::Listen => {
                    if let Some(event) = self.listen().await {
                        return event;
                    }
                }
                CallStep::Cancel => self.cancel(),
                CallStep::End(end) => return CallEvent::End(self.finish(*end)),
            }
        }
    }

    /// Runs `action` on the call flow with the current tables and view.
    fn with_flow<T>(
        &mut self,
        action: impl FnOnce(&mut CallFlow, &mut CallTables, &CallView<'_>, ClockMillis) -> T,
    ) -> T {
        let flow = &mut self.flow;
        self.shared
            .with_tables(|tables, view, now| action(flow, tables, view, now))
    }

    /// Connects to a side process and reports its incarnation to the flow, which names it in the claim. A pooled
    /// connection is not used, since it may lead to an earlier incarnation.
    async fn connect(&mut self, vm: &VmEntry) {
        match self.shared.connections.connect(&vm.name, vm.data).await {
            Ok(connection) => {
                self.flow.note_connected(connection.incarnation);
                self.opened = Some(connection);
            }
            Err(error) => {
                self.shared.metrics.count("connect.failed");
                tracing::debug!(vm = %vm.name, %error, "connecting to the VM failed");
                self.with_flow(|flow, tables, _, now| flow.note_not_connected(tables, now));
            }
        }
    }

    async fn claim(&mut self, command: ClaimCommand) {
        let Some(key) = self.spec.work_key() else {
            return;
        };
        let router = ProcessInstance {
            vm: self.shared.settings.vm.clone(),
            incarnation: self.shared.incarnation,
        };
        // Without a target, this is a read-only lookup: `decide_claim` lets a superseding claim be appended only if the
        // superseded claim is current for the key, so a claim that supersedes a random id is never appended.
        let supersedes = match command.target {
            Some(_) => command.supersedes,
            None => Some(ClaimId::generate()),
        };
        let claim = ClaimEntry {
            id: ClaimId::generate(),
            key: key.into(),
            target: command.target.unwrap_or_else(|| router.clone()),
            router,
            request_hash: self.spec.content_hash(),
            supersedes,
        };
        let claims = &self.shared.claims;
        let reply = claims.claim(&self.shared, &claim, command.due).await;
        if reply != ClaimReply::Claimed {
            self.opened = None;
        }
        self.with_flow(|flow, tables, _, now| flow.note_claim(claim, reply.into(), tables, now));
    }

    async fn query_key(&mut self, query: &KeyQuery) {
        match key_query::query_claim_target(&self.shared, &self.spec, query).await {
            Ok((status, attempt)) => {
                self.attempt = attempt;
                self.with_flow(|flow, tables, _, now| flow.handle_key_status(status, tables, now));
            }
            Err(error) => {
                let reason = error.to_string();
                self.with_flow(|flow, tables, _, now| {
                    flow.handle_query_failure(&reason, tables, now)
                });
            }
        }
    }

    /// Starts an attempt: opens a connection to the VM of `offer` and sends the dispatch.
    async fn dispatch(&mut self, offer: CallOffer) {
        let tag = AttemptTag {
            request: self.spec.request,
            attempt: AttemptId::generate(),
        };
        let connection = match self.opened.take() {
            Some(connection) => Ok(connection),
            None => {
                let vm = &offer.vm;
                let now = ClockMillis::now();
                let connections = &self.shared.connections;
                connections
                    .checkout_within(&vm.name, vm.data, now, offer.time_left)
                    .await
            }
        };
        match connection {
            Ok(connection) => {
                // The attempt is stored before its first byte is sent, so that it is cancelled if the caller
                // disconnects meanwhile.
                let attempt = self
                    .attempt
                    .insert(LiveAttempt::new(tag, &offer.vm, connection));
                let frame = dispatch_frame(&self.spec, &self.delivered, tag, offer);
                let flow = &mut self.flow;
                self.shared
                    .with_tables(|tables, _, _| flow.note_sent(tag.attempt, tables));
                attempt.send_dispatch(frame).await;
            }
            Err(error) => {
                self.shared.metrics.count("connect.failed");
                let reason = error.to_string();
                self.with_flow(|flow, tables, _, now| {
                    flow.note_not_sent(tag.attempt, reason, tables, now);
                });
            }
        }
    }

    /// Waits for the next event of the attempt. Returns the event to pass to the caller, if any.
    async fn listen(&mut self) -> Option<CallEvent> {
        let event = match &mut self.attempt {
            Some(attempt) => attempt.next(&self.shared, self.spec.deadline).await,
            None => AttemptEvent::EndedIncomplete(AttemptUpdate::Lost(
                "no attempt is in progress".to_owned(),
            )),
        };
        let (update, event) = match event {
            AttemptEvent::Head(status, content_type) => {
                let event = CallEvent::Head(status, content_type);
                (AttemptUpdate::Head(status), Some(event))
            }
            AttemptEvent::Chunk(bytes) => {
                self.delivered.extend_from_slice(&bytes);
                (AttemptUpdate::Chunk, Some(CallEvent::Chunk(bytes)))
            }
            AttemptEvent::Alive => (AttemptUpdate::Alive, Some(CallEvent::Alive)),
            AttemptEvent::Completed(usage) => {
                self.usage = usage;
                (AttemptUpdate::Completed, None)
            }
            AttemptEvent::EndedIncomplete(update) => {
                self.record_attempt_end(&update);
                (update, None)
            }
            // The next step of the flow ends the request.
            AttemptEvent::DeadlinePassed => return None,
        };
        match self.with_flow(|flow, tables, _, now| flow.handle_update(update, tables, now)) {
            UpdateAction::Forward => event,
            UpdateAction::Ignore | UpdateAction::Finished => None,
        }
    }

    fn record_attempt_end(&self, update: &AttemptUpdate) {
        let metrics = &self.shared.metrics;
        match update {
            AttemptUpdate::Declined(_) => metrics.count("attempt.refused"),
            AttemptUpdate::Crashed(_) => metrics.count("attempt.crashed"),
            AttemptUpdate::Corrupt(_) => metrics.count("response.unusable"),
            _ => {}
        }
        let Some(attempt) = &self.attempt else {
            return;
        };
        let (tag, vm) = (attempt.tag(), &attempt.vm().name);
        match update {
            AttemptUpdate::Corrupt(reason) => {
                tracing::error!(%tag, %vm, %reason, "response is corrupt; the request ends");
            }
            AttemptUpdate::Failed(reason)
            | AttemptUpdate::Crashed(reason)
            | AttemptUpdate::Lost(reason) => {
                tracing::debug!(%tag, %vm, %reason, "attempt ended without a complete response");
            }
            _ => {}
        }
    }

    fn cancel(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            attempt.cancel(&self.shared);
        }
    }

    fn finish(&mut self, end: CallEnd) -> CallResult {
        self.has_ended = true;
        let outcome = CallOutcome::from(end.verdict);
        self.shared.metrics.count(match outcome {
            CallOutcome::Completed => "request.completed",
            CallOutcome::NotRun => "request.not_run",
            CallOutcome::Failed => "request.failed",
            CallOutcome::Unknown => "request.unknown",
        });
        self.shared.send_record(end.record);
        CallResult {
            outcome,
            reason: end.reason,
            retry_after: end.retry_after,
            usage: self.usage,
            attempts: end.attempts,
        }
    }
}

impl Drop for CallRunner {
    /// Abandons the request if its caller disconnected before the end.
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let end = self.with_flow(|flow, tables, _, now| flow.abandon(tables, now));
        self.shared.metrics.count("request.abandoned");
        self.shared.send_record(end.record);
        if self.flow.take_pending_cancel() {
            self.cancel();
        }
    }
}

fn dispatch_frame(
    spec: &CallSpec,
    delivered: &[u8],
    tag: AttemptTag,
    offer: CallOffer,
) -> DispatchFrame {
    DispatchFrame {
        tag,
        // Set by `LiveAttempt::send_dispatch` to the incarnation that the connection leads to.
        target: Default::default(),
        workspace: spec.workspace.clone(),
        class: spec.class.clone(),
        repeatable: spec.class_targets.repeatable,
        key: spec.work_key(),
        // The maximum time in the queue of the side process: the time left until the first part of the response misses
        // the latency target or, after a lost attempt, until the deadline.
        slack: offer.queue_limit,
        // The time left until the deadline of the request.
        deadline: offer.time_left,
        chat: spec.chat_turn(),
        condition: offer.condition.into(),
        prefix_source: offer.copy_from.map(PrefixSource::from),
        loss_share: spec.class_targets.loss_share,
        suspect: offer.is_suspect,
        admission: offer.rule.into(),
        work: spec.work_body(delivered),
    }
}
