//! Queries the side process named in a claim about the state of its key.

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

/// Queries the side process about the key of `spec` and seals the key there if it was never seen. Returns an attempt if
/// an earlier one with this key was found and joined.
///
/// # Errors
///
/// Returns an error if the side process cannot be reached or sends an unexpected frame.
pub(crate) async fn ask_holder(
    shared: &RouterShared,
    spec: &CallSpec,
    order: &KeyQuery,
) -> Result<(KeyStatus, Option<LiveAttempt>), FrameError> {
    let vm = &order.vm;
    let left = spec.deadline.since(ClockMillis::now());
    let mut link = shared.links.connect_within(&vm.name, vm.data, left).await?;
    if link.incarnation != order.claim.target.incarnation {
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
        wait: order.wait,
    };
    link.stream.send(&seal).await?;
    let left = spec.deadline.since(ClockMillis::now());
    if left.as_millis() == 0 {
        return Err(FrameError::Timeout);
    }
    let limit = shared.settings.silence_limit().min(left);
    let SideFrame::Sealed { tag: found, state } = link.stream.receive(limit).await? else {
        let reason = "expected a `Sealed` frame".to_owned();
        return Err(FrameError::Protocol(reason));
    };
    if found != tag {
        let reason = format!("`Sealed` frame of attempt {found}, expected {tag}");
        return Err(FrameError::Protocol(reason));
    }
    Ok(match state {
        SealState::Present(tag) => {
            let attempt = LiveAttempt::join(tag, vm, link).await;
            (KeyStatus::Joined(tag.attempt), Some(attempt))
        }
        SealState::Sealed => (KeyStatus::NeverSeen, None),
        SealState::Expired => {
            let reason = "side process no longer has the response".to_owned();
            (KeyStatus::Unknown(reason), None)
        }
    })
}
