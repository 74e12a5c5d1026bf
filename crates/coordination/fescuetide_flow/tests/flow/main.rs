//! Tests of the gateway's state machine with single requests and load patterns.

mod crash;
mod crash_detection;
mod crash_fleet;
mod crash_harness;
mod fleet;
mod harness;
mod leaving;
mod life;
mod load_digest;
mod load_fleet;
mod origin_exchange;
mod origin_fleet;
mod origins;
mod pauses;
mod placement;
mod rate_fleet;
mod rate_limits;
mod retry_fleet;
mod retry_share;
mod versions;
