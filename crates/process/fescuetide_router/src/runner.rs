//! Executes the decisions of the call flow for one request.

use std::sync::Arc;

use fescuetide_base::AttemptId;
use fescuetide_base::ClaimId;
use fescuetide_base::ClockMillis;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimHolder;
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
use crate::holder;

/// Runs a request to its end. Dropping the runner abandons the request.
pub(crate) struct CallRunner {
    shared: Arc<RouterShared>,
    spec: CallSpec,
    flow: CallFlow,
    attempt: Option<LiveAttempt>,
    /// The connection opened ahead of a claim.
    opened: Option<SideConnection>,
    delivered: Vec<u8>,
    usage: TokenUsage,
    has_ended: bool,
}

impl CallRunner {
    pub(crate) fn new(shared: Arc<RouterShared>, spec: CallSpec) -> Self {
        let facts = spec.facts();
        let flow = shared.decide(|tables, view, now| CallFlow::new(facts, tables, view, now));
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
            match self.decide(CallFlow::step) {
                CallStep::Wait(until) => {
                    let wait = until.since(ClockMillis::now());
                    time::sleep(wait.into()).await;
                }
                CallStep::Connect(vm) => self.connect(&vm).await,
                CallStep::Claim(order) => self.claim(order).await,
                CallStep::QueryKey(order) => self.ask(&order).await,
                CallStep::Offer(offer) => self.offer(*offer).await,
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
    fn decide<T>(
        &mut self,
        action: impl FnOnce(&mut CallFlow, &mut CallTables, &CallView<'_>, ClockMillis) -> T,
    ) -> T {
        let flow = &mut self.flow;
        self.shared
            .decide(|tables, view, now| action(flow, tables, view, now))
    }

    /// Opens a connection for a claim. A pooled connection is not used, since it may lead to an earlier incarnation.
    async fn connect(&mut self, vm: &VmEntry) {
        match self.shared.links.connect(&vm.name, vm.data).await {
            Ok(link) => {
                self.flow.note_connected(link.incarnation);
                self.opened = Some(link);
            }
            Err(error) => {
                self.shared.metrics.count("connect.failed");
                tracing::debug!(vm = %vm.name, %error, "connecting to the VM failed");
                self.decide(|flow, tables, _, now| flow.note_not_connected(tables, now));
            }
        }
    }

    async fn claim(&mut self, order: ClaimCommand) {
        let Some(key) = self.spec.work_key() else {
            return;
        };
        let router = ClaimHolder {
            vm: self.shared.settings.vm.clone(),
            incarnation: self.shared.incarnation,
        };
        // Without a target, the claim only queries the registrar. Superseding a claim id that does not exist keeps it
        // from being appended.
        let supersedes = match order.target {
            Some(_) => order.replaces,
            None => Some(ClaimId::generate()),
        };
        let claim = ClaimEntry {
            id: ClaimId::generate(),
            key: key.into(),
            target: order.target.unwrap_or_else(|| router.clone()),
            router,
            content: self.spec.content_hash(),
            supersedes,
        };
        let claims = &self.shared.claims;
        let reply = claims.claim(&self.shared, &claim, order.due).await;
        if reply != ClaimReply::Claimed {
            self.opened = None;
        }
        self.decide(|flow, tables, _, now| flow.note_claim(claim, reply.into(), tables, now));
    }

    async fn ask(&mut self, order: &KeyQuery) {
        match holder::ask_holder(&self.shared, &self.spec, order).await {
            Ok((fate, attempt)) => {
                self.attempt = attempt;
                self.decide(|flow, tables, _, now| flow.handle_key_status(fate, tables, now));
            }
            Err(error) => {
                let reason = error.to_string();
                self.decide(|flow, tables, _, now| flow.handle_query_failure(&reason, tables, now));
            }
        }
    }

    async fn offer(&mut self, offer: CallOffer) {
        let tag = AttemptTag {
            request: self.spec.request,
            attempt: AttemptId::generate(),
        };
        let link = match self.opened.take() {
            Some(link) => Ok(link),
            None => {
                let vm = &offer.vm;
                let now = ClockMillis::now();
                let links = &self.shared.links;
                links
                    .checkout_within(&vm.name, vm.data, now, offer.time_left)
                    .await
            }
        };
        match link {
            Ok(link) => {
                // The attempt is stored before its first byte is sent, so that it is cancelled if the caller
                // disconnects meanwhile.
                let attempt = self.attempt.insert(LiveAttempt::new(tag, &offer.vm, link));
                let frame = dispatch_frame(&self.spec, &self.delivered, tag, offer);
                let flow = &mut self.flow;
                self.shared
                    .decide(|tables, _, _| flow.note_sent(tag.attempt, tables));
                attempt.send_dispatch(frame).await;
            }
            Err(error) => {
                self.shared.metrics.count("connect.failed");
                let reason = error.to_string();
                self.decide(|flow, tables, _, now| {
                    flow.note_not_sent(tag.attempt, reason, tables, now);
                });
            }
        }
    }

    /// Waits for the next event of the attempt. Returns the event to pass to the caller, if any.
    async fn listen(&mut self) -> Option<CallEvent> {
        let event = match &mut self.attempt {
            Some(attempt) => attempt.next(&self.shared, self.spec.deadline).await,
            None => AttemptEvent::Over(AttemptUpdate::Lost("attempt is gone".to_owned())),
        };
        let (news, event) = match event {
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
            AttemptEvent::Over(news) => {
                self.record_attempt_end(&news);
                (news, None)
            }
            // The next step of the flow ends the request.
            AttemptEvent::DeadlinePassed => return None,
        };
        match self.decide(|flow, tables, _, now| flow.handle_update(news, tables, now)) {
            UpdateAction::Forward => event,
            UpdateAction::Ignore | UpdateAction::Finished => None,
        }
    }

    fn record_attempt_end(&self, news: &AttemptUpdate) {
        let metrics = &self.shared.metrics;
        match news {
            AttemptUpdate::Declined(_) => metrics.count("attempt.refused"),
            AttemptUpdate::Crashed(_) => metrics.count("attempt.crashed"),
            AttemptUpdate::Corrupt(_) => metrics.count("response.unusable"),
            _ => {}
        }
        let Some(attempt) = &self.attempt else {
            return;
        };
        let (tag, vm) = (attempt.tag(), &attempt.vm().name);
        match news {
            AttemptUpdate::Corrupt(reason) => {
                tracing::error!(%tag, %vm, %reason, "response is corrupt and cannot be continued");
            }
            AttemptUpdate::Failed(reason)
            | AttemptUpdate::Crashed(reason)
            | AttemptUpdate::Lost(reason) => {
                tracing::debug!(%tag, %vm, %reason, "attempt lost");
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
        let end = self.decide(|flow, tables, _, now| flow.abandon(tables, now));
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
        target: Default::default(),
        workspace: spec.workspace.clone(),
        class: spec.class.clone(),
        repeatable: spec.targets.repeatable,
        key: spec.work_key(),
        slack: offer.slack,
        deadline: offer.time_left,
        chat: spec.chat_turn(),
        condition: offer.condition.into(),
        prefix_source: offer.copy_from.map(PrefixSource::from),
        loss_share: spec.targets.loss_share,
        suspect: offer.is_suspect,
        admission: offer.rule.into(),
        work: spec.work_body(delivered),
    }
}
