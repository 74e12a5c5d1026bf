//! Request lifecycle: admission, queueing, placement, sending, resumption, retries, refusal, timeout and cancellation.
//!
//! The crate contains sans-I/O state machines: no sockets, threads or clocks. A process passes in events with their
//! timestamps and executes the returned actions. Tests replay load patterns through the state machines.
//!
//! * [`RequestScheduler`] handles all requests of a gateway, which sends them to the upstreams itself.
//! * [`CallFlow`] handles a single request of a router, which offers it to the side processes next to the upstreams.
//!
//! A fleet consists of routers and side processes or, on a platform that brings its own log, engines and load balancer,
//! of gateways. Types whose names start with `Flow`, `Work` or `Request` belong to the gateway, those that start with
//! `Call`, `Claim` or `Key` to the router.

mod action;
mod announcements;
mod call;
mod crash;
mod decaying_count;
mod demand;
mod directory;
mod evidence;
mod flow;
mod gateway_list;
mod health;
mod keys;
mod load;
mod notice;
mod origin_exchange;
mod origin_message;
mod origin_recorder;
mod origin_search;
mod origins;
mod placement;
mod pool;
mod prompt;
mod rate_limits;
mod rate_shares;
mod request;
mod scheduler;
mod settings;
mod share;
mod timing;
mod versions;
mod waiting;

pub use action::AttemptEvent;
pub use action::BreakCause;
pub use action::DeclineCause;
pub use action::FlowAction;
pub use action::FlowFailure;
pub use action::FlowKey;
pub use action::ProbeOutcome;
pub use action::SendCommand;
pub use announcements::UpstreamAnnouncement;
pub use call::AttemptUpdate;
pub use call::CallEnd;
pub use call::CallFlow;
pub use call::CallKind;
pub use call::CallMetadata;
pub use call::CallOffer;
pub use call::CallSettings;
pub use call::CallStep;
pub use call::CallTables;
pub use call::CallVerdict;
pub use call::CallView;
pub use call::ClaimAnswer;
pub use call::ClaimCommand;
pub use call::DeclineReason;
pub use call::DeclineReply;
pub use call::KeyMetadata;
pub use call::KeyQuery;
pub use call::KeyStatus;
pub use call::OfferCondition;
pub use call::RoutingPolicy;
pub use call::UpdateAction;
pub use crash::CrashEvent;
pub use crash::SuspectKind;
pub use evidence::FlowRefusal;
pub use evidence::NotRunEvidence;
pub use evidence::RefusalCause;
pub use gateway_list::GatewayList;
pub use keys::PoolKey;
pub use keys::StreamKey;
pub use load::LoadEntry;
pub use load::LoadReport;
pub use notice::FlowNotice;
pub use origin_exchange::OriginExchange;
pub use origin_message::OriginCommand;
pub use origin_message::OriginLogEvent;
pub use origin_message::OriginMessage;
pub use origin_message::OriginOutput;
pub use origin_search::FailedSearch;
pub use origin_search::VersionVotes;
pub use origins::OriginEntry;
pub use origins::OriginSource;
pub use origins::StreamOrigin;
pub use prompt::PromptPart;
pub use prompt::PromptShape;
pub use rate_limits::LimitEntry;
pub use rate_shares::DemandEntry;
pub use rate_shares::GatewayId;
pub use request::WorkRequest;
pub use scheduler::LIMIT_DIGEST_LIMIT;
pub use scheduler::LOAD_DIGEST_LIMIT;
pub use scheduler::LimitDigest;
pub use scheduler::LoadCounts;
pub use scheduler::RequestScheduler;
pub use scheduler::VersionReading;
pub use settings::FlowSettings;
