//! Transfer of the cached prefix of a chat from the engine that has it cached.
//!
//! A failed transfer only costs time: the engine computes the prefix instead.

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

/// Assumed bytes of request body per token, for the transfer estimate.
const BYTES_PER_TOKEN: u64 = 4;

/// Lower bound of the time limit of a transfer.
const MIN_TRANSFER_LIMIT_MS: u64 = 50;

/// Transfers the prefix of the prompt from the engine named in the dispatch if that is cheaper than computing it.
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
        .is_some_and(|turn| shared.chats.has_cached(turn, now))
    {
        return;
    }
    let estimate = shared.settings.transfer_estimate();
    let tokens = TokenCount::new(body.len() as u64 / BYTES_PER_TOKEN);
    if !estimate.is_worthwhile(tokens) {
        return;
    }
    let floor = SpanMillis::new(MIN_TRANSFER_LIMIT_MS);
    let limit = estimate.prefill_time(tokens).max(floor);
    let Some(runtime) = shared.control_runtime.get() else {
        return;
    };
    match runtime.block_on(request_prefix(shared, dispatch, source, body, limit)) {
        Ok(blob) if blob.is_empty() => shared.metrics.count("prefix.absent"),
        Ok(blob) => {
            let imported = shared.upstream.import_prefix(&blob, limit);
            // The engine that exported the prefix keeps its copy.
            shared.metrics.count(if imported {
                "prefix.moved"
            } else {
                "prefix.failed"
            });
        }
        Err(error) => {
            shared.metrics.count("prefix.failed");
            tracing::debug!(source = %source.vm, %error, "fetching the prefix failed");
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
    let connections = &shared.connections;
    let now = ClockMillis::now();
    let mut connection = connections.checkout(&source.vm, source.data, now).await?;
    let request = RouterFrame::ExportPrefix {
        tag,
        body: body.to_vec(),
        limit,
    };
    connection.stream.send(&request).await?;
    // The export and sending the blob may each take up to `limit`.
    let reply_timeout = limit + limit;
    let reply: SideFrame = connection.stream.receive(reply_timeout).await?;
    match reply {
        SideFrame::Prefix { tag: found, blob } if found == tag => {
            connections.checkin(source.data, connection, ClockMillis::now());
            Ok(blob)
        }
        _ => Err(FrameError::Protocol("unexpected frame".to_owned())),
    }
}
