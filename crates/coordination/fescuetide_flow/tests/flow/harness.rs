//! Test harness for a gateway's state machine with a manual clock.

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_fleet::PoolShare;
use fescuetide_fleet::RouteEntry;
use fescuetide_fleet::SoftwareVersion;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::UpstreamState;
use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowSettings;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::SendCommand;
use fescuetide_flow::StreamOrigin;
use fescuetide_flow::WorkRequest;

/// The pool that all requests go to.
pub(crate) const POOL: &str = "engines";

/// Time limit of requests.
const TIME_LIMIT: SpanMillis = SpanMillis::new(10_000);

/// Creates an upstream in the pool.
pub(crate) fn upstream(name: &str, slots: u32) -> UpstreamEntry {
    UpstreamEntry {
        name: name.parse().unwrap(),
        incarnation: ProcessIncarnation::new(1),
        pool: POOL.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: SoftwareVersion::default(),
        slots,
        state: UpstreamState::Ready,
    }
}

/// A route to the pool.
pub(crate) fn route(kind: WorkKind, attempt_limit: u32) -> RouteEntry {
    RouteEntry {
        name: "route".to_owned(),
        prefix: "/".to_owned(),
        kind,
        time_limit: TIME_LIMIT,
        late_after: SpanMillis::new(400),
        pause_limit: Some(SpanMillis::new(300)),
        priority: 1,
        attempt_limit,
        is_public: false,
        has_common_prefixes: false,
        pools: vec![PoolShare {
            pool: POOL.parse().unwrap(),
            weight: 1,
        }],
    }
}

/// The state machine and the current time.
pub(crate) struct SchedulerHarness {
    pub(crate) scheduler: RequestScheduler,
    pub(crate) now: ClockMillis,
    /// Upstreams that the scheduler wants probed.
    pub(crate) probes: VecDeque<VmName>,
    /// Versions that other gateways are to be told of.
    pub(crate) told_versions: Vec<StreamOrigin>,
}

impl SchedulerHarness {
    pub(crate) fn with_upstreams(count: usize) -> Self {
        let zone = "a".parse().unwrap();
        // The gateway has run for longer than the window of the retry budget.
        let settings = FlowSettings {
            retry_window: SpanMillis::default(),
            ..FlowSettings::default()
        };
        let mut scheduler = RequestScheduler::new(settings, zone);
        let now = ClockMillis::new(1_000_000);
        let mut entries = Vec::new();
        for index in 0..count {
            entries.push(upstream(&format!("vm-{index}"), 8));
        }
        scheduler.set_upstreams(&entries, now);
        Self {
            scheduler,
            now,
            probes: VecDeque::new(),
            told_versions: Vec::new(),
        }
    }

    pub(crate) fn arrive(&mut self, kind: WorkKind, attempt_limit: u32) -> FlowKey {
        let route = route(kind, attempt_limit);
        let request = WorkRequest::of_route(&route, self.now, None);
        self.scheduler.arrive(request, self.now)
    }

    /// Adds a request of the given workspace.
    pub(crate) fn arrive_for(&mut self, workspace: u64) -> FlowKey {
        let route = route(WorkKind::Repeatable, 2);
        let request = WorkRequest {
            workspace,
            ..WorkRequest::of_route(&route, self.now, None)
        };
        self.scheduler.arrive(request, self.now)
    }

    pub(crate) fn note(&mut self, key: FlowKey, event: AttemptEvent) {
        self.scheduler.note_attempt(key, event, self.now);
    }

    /// Returns the next action that concerns a request. Probes of upstreams and versions are kept in `probes` and
    /// `told_versions`.
    pub(crate) fn next(&mut self) -> Option<FlowAction> {
        loop {
            match self.scheduler.next_action() {
                Some(FlowAction::Probe(vm)) => self.probes.push_back(vm),
                Some(FlowAction::TellVersion(origin)) => self.told_versions.push(origin),
                other => return other,
            }
        }
    }

    pub(crate) fn expect_send(&mut self, key: FlowKey) -> SendCommand {
        match self.next() {
            Some(FlowAction::Send(command)) if command.key == key => command,
            other => panic!("expected the request to be sent, not {other:?}"),
        }
    }

    /// Advances the clock with periodic ticks, as a process does.
    pub(crate) fn advance(&mut self, millis: u64) {
        const TICK_MS: u64 = 20;
        let end = self.now + SpanMillis::new(millis);
        while self.now < end {
            self.now = end.min(self.now + SpanMillis::new(TICK_MS));
            self.scheduler.tick(self.now);
        }
    }

    pub(crate) fn time_limit_ms(&self) -> u64 {
        TIME_LIMIT.as_millis()
    }
}
