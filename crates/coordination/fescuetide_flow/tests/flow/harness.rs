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
use fescuetide_flow::OriginEntry;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::SendCommand;
use fescuetide_flow::StreamOrigin;
use fescuetide_flow::VersionReading;
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
    /// Origins that other gateways are to be told.
    pub(crate) told_origins: Vec<OriginEntry>,
    /// Versions that the log is to get records of.
    pub(crate) recorded_versions: Vec<StreamOrigin>,
    /// Versions whose records are to be removed.
    pub(crate) forgotten_versions: Vec<StreamOrigin>,
}

impl SchedulerHarness {
    pub(crate) fn with_upstreams(count: usize) -> Self {
        let mut harness = Self::unread();
        let mut entries = Vec::new();
        for index in 0..count {
            entries.push(upstream(&format!("vm-{index}"), 8));
        }
        harness.scheduler.set_upstreams(&entries, harness.now);
        // The log has no records of versions.
        let reading = VersionReading::default();
        harness
            .scheduler
            .note_version_reading(&reading, harness.now);
        harness
    }

    /// A gateway that has not read anything.
    pub(crate) fn unread() -> Self {
        let zone = "a".parse().unwrap();
        // The gateway has run for longer than the window of the retry budget.
        let settings = FlowSettings {
            retry_window: SpanMillis::default(),
            ..FlowSettings::default()
        };
        Self {
            scheduler: RequestScheduler::new(settings, zone),
            now: ClockMillis::new(1_000_000),
            probes: VecDeque::new(),
            told_origins: Vec::new(),
            recorded_versions: Vec::new(),
            forgotten_versions: Vec::new(),
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

    /// Returns the next action that concerns a request. Probes of upstreams, origins and versions are kept
    /// in the fields of the harness.
    pub(crate) fn next(&mut self) -> Option<FlowAction> {
        loop {
            match self.scheduler.next_action() {
                Some(FlowAction::Probe(vm)) => self.probes.push_back(vm),
                Some(FlowAction::TellOrigin(entry)) => self.told_origins.push(entry),
                Some(FlowAction::RecordVersion(origin)) => self.recorded_versions.push(origin),
                Some(FlowAction::ForgetVersion(origin)) => self.forgotten_versions.push(origin),
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
