//! Queries the side process that a claim names as its target about the state of the key.
//!
//! The ledger of the registrar only tells which side process may run the key. Whether it did run is known to that side
//! process. Its reply is a `SealState`, which is converted into the `KeyStatus` of the call flow here.

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_flow::KeyQuery;
use fescuetide_flow::KeyStatus;
use fescuetide_net::FrameError;
use fescuetide_wire::frame::AttemptTag;
use fescuetide_wire::frame::RouterFrame;
use fescuetide_wire::frame::SealState;
use fescuetide_wire::frame::SideFrame;

use crate::RouterShared;
use crate::attempt::LiveAttempt;
use crate::call::CallSpec;

/// Queries the side process about the key of `spec`. If the side process has never seen the key, it seals it, so that
/// no attempt with the key can start there. Returns an attempt if an earlier one with this key was found and joined.
///
/// # Errors
///
/// Returns an error if the side process cannot be reached or sends an unexpected frame.
pub(crate) async fn query_claim_target(
    shared: &RouterShared,
    spec: &CallSpec,
    query: &KeyQuery,
) -> Result<(KeyStatus, Option<LiveAttempt>), FrameError> {
    let vm = &query.vm;
    let left = spec.deadline.since(ClockMillis::now());
    let mut connection = shared
        .connections
        .connect_within(&vm.name, vm.data, left)
        .await?;
    if connection.incarnation != query.claim.target.incarnation {
        let reason = format!("side process on VM {} has restarted", vm.name);
        return Ok((KeyStatus::Unknown(reason), None));
    }
    let tag = AttemptTag {
        request: spec.request,
        attempt: AttemptId::generate(),
    };
    let seal = RouterFrame::Seal {
        tag,
        key: spec.work_key(),
        // A dispatch with this key may still be in transit. The side process waits for it before it seals the key.
        wait: query.wait,
    };
    connection.stream.send(&seal).await?;
    let left = spec.deadline.since(ClockMillis::now());
    if left.as_millis() == 0 {
        return Err(FrameError::Timeout);
    }
    let limit = shared.settings.silence_limit().min(left);
    let SideFrame::Sealed { tag: found, state } = connection.stream.receive(limit).await? else {
        let reason = "expected a `Sealed` frame in reply to a `Seal` frame".to_owned();
        return Err(FrameError::Protocol(reason));
    };
    if found != tag {
        let reason = format!("`Sealed` frame of attempt {found}, expected {tag}");
        return Err(FrameError::Protocol(reason));
    }
    Ok(match state {
        SealState::Present(tag) => {
            let attempt = LiveAttempt::join(tag, vm, connection).await;
            (KeyStatus::Joined(tag.attempt), Some(attempt))
        }
        SealState::Sealed => (KeyStatus::NeverSeen, None),
        SealState::Expired => {
            let reason = "side process no longer has the response".to_owned();
            (KeyStatus::Unknown(reason), None)
        }
    })
}
