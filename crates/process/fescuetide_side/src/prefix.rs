//! Moves the cached prefix of a chat from the engine that holds it.
//!
//! A move that fails costs nothing but its time: the engine computes the prefix instead.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::TokenCount;
use fescuetide_net::FrameError;
use fescuetide_wire::frame::DispatchFrame;
use fescuetide_wire::frame::PrefixSource;
use fescuetide_wire::frame::RouterFrame;
use fescuetide_wire::frame::SideFrame;
use fescuetide_wire::frame::WorkBody;

use crate::SideShared;

/// Bytes of a prompt per token, for the estimate.
const BYTES_PER_TOKEN: u64 = 4;

/// Shortest time that a move may take before it is given up.
const MOVE_FLOOR_MS: u64 = 50;

/// Brings the prompt's prefix from the engine named in the dispatch when that is cheaper than computing it.
pub(crate) fn fetch_prefix(shared: &SideShared, dispatch: &DispatchFrame) {
    let Some(source) = &dispatch.prefix_source else {
        return;
    };
    let WorkBody::Chat { body, .. } = &dispatch.work else {
        return;
    };
    let now = ClockMillis::now();
    if dispatch
        .chat
        .is_some_and(|turn| shared.chats.holds(turn, now))
    {
        return;
    }
    let estimate = shared.settings.transfer_estimate();
    let tokens = TokenCount::new(body.len() as u64 / BYTES_PER_TOKEN);
    if !estimate.is_worthwhile(tokens) {
        return;
    }
    let floor = SpanMillis::new(MOVE_FLOOR_MS);
    let limit = estimate.prefill_time(tokens).max(floor);
    let Some(runtime) = shared.control.get() else {
        return;
    };
    match runtime.block_on(request_prefix(shared, dispatch, source, body, limit)) {
        Ok(blob) if blob.is_empty() => shared.metrics.count("prefix.absent"),
        Ok(blob) => {
            let imported = shared.upstream.import_prefix(&blob, limit);
            shared.metrics.count(if imported {
                "prefix.moved"
            } else {
                "prefix.failed"
            });
        }
        Err(error) => {
            shared.metrics.count("prefix.failed");
            tracing::debug!(source = %source.vm, %error, "prefix was not fetched");
        }
    }
}

async fn request_prefix(
    shared: &SideShared,
    dispatch: &DispatchFrame,
    source: &PrefixSource,
    body: &[u8],
    limit: SpanMillis,
) -> Result<Vec<u8>, FrameError> {
    let tag = dispatch.tag;
    let links = &shared.links;
    let now = ClockMillis::now();
    let mut link = links.checkout(&source.vm, source.data, now).await?;
    let request = RouterFrame::ExportPrefix {
        tag,
        body: body.to_vec(),
        limit,
    };
    link.stream.send(&request).await?;
    // The answer may take the time of the export and of sending the blob.
    let patience = limit + limit;
    let reply: SideFrame = link.stream.receive(patience).await?;
    match reply {
        SideFrame::Prefix { tag: found, blob } if found == tag => {
            links.checkin(source.data, link, ClockMillis::now());
            Ok(blob)
        }
        _ => Err(FrameError::Protocol("unexpected frame".to_owned())),
    }
}
