//! One attempt at a request over the framed protocol. A broken connection is replaced and the response resumed.

use std::sync::Arc;

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_flow::AttemptUpdate;
use fescuetide_flow::DeclineReason;
use fescuetide_flow::DeclineReply;
use fescuetide_members::VmEntry;
use fescuetide_net::FrameError;
use fescuetide_net::SideConnection;
use fescuetide_wire::api::TokenUsage;
use fescuetide_wire::frame::AttemptEnding;
use fescuetide_wire::frame::AttemptTag;
use fescuetide_wire::frame::BodySeal;
use fescuetide_wire::frame::DispatchFrame;
use fescuetide_wire::frame::RouterFrame;
use fescuetide_wire::frame::SealState;
use fescuetide_wire::frame::SideFrame;
use tokio::runtime::Handle;

use crate::RouterShared;

/// Number of resumptions without progress after which the attempt counts as lost.
const RESUME_LIMIT: u32 = 3;

/// An event of an attempt in progress.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// Status and content type of the response.
    Head(u16, String),
    /// The next bytes of the response body.
    Chunk(Vec<u8>),
    /// A heartbeat: the attempt is still running without new output.
    Alive,
    /// The response is complete and matches the length and hash sent at its end.
    Completed(TokenUsage),
    /// The attempt ended without a complete response. The update is `Declined`, `NotRun`, `Shed`, `Failed`, `Crashed`,
    /// `Lost` or `Corrupt`.
    EndedIncomplete(AttemptUpdate),
    /// The deadline has passed while the attempt was in progress.
    DeadlinePassed,
}

/// An attempt in progress.
pub(crate) struct LiveAttempt {
    tag: AttemptTag,
    vm: VmEntry,
    incarnation: ProcessIncarnation,
    connection: Option<SideConnection>,
    body: Vec<u8>,
    resumes: u32,
    accepted: bool,
    head_seen: bool,
    ended: bool,
}

impl LiveAttempt {
    /// Creates an attempt that uses `connection`, which leads to the side process of `vm`.
    pub(crate) fn new(tag: AttemptTag, vm: &VmEntry, connection: SideConnection) -> Self {
        Self {
            tag,
            vm: vm.clone(),
            incarnation: connection.incarnation,
            connection: Some(connection),
            body: Vec::new(),
            resumes: 0,
            accepted: false,
            head_seen: false,
            ended: false,
        }
    }

    /// Sends the dispatch, addressed to the incarnation that `connection` is connected to.
    pub(crate) async fn send_dispatch(&mut self, mut frame: DispatchFrame) {
        frame.target = self.incarnation;
        self.send_opening_frame(&RouterFrame::Dispatch(Box::new(frame)))
            .await;
    }

    /// Attaches to an attempt that was admitted earlier and requests its response from the start.
    pub(crate) async fn join(tag: AttemptTag, vm: &VmEntry, connection: SideConnection) -> Self {
        let mut attempt = Self {
            accepted: true,
            ..Self::new(tag, vm, connection)
        };
        attempt
            .send_opening_frame(&RouterFrame::Resume { tag, offset: 0 })
            .await;
        attempt
    }

    async fn send_opening_frame(&mut self, frame: &RouterFrame) {
        let sent = match &mut self.connection {
            Some(connection) => connection.stream.send(frame).await,
            None => Ok(()),
        };
        if let Err(error) = sent {
            // The frame may have arrived in part, so the next event resumes on a new connection.
            tracing::debug!(tag = %self.tag, %error, "sending the first frame failed");
            self.connection = None;
        }
    }

    pub(crate) fn tag(&self) -> AttemptTag {
        self.tag
    }

    pub(crate) fn vm(&self) -> &VmEntry {
        &self.vm
    }

    /// Waits for the next event until `deadline`.
    pub(crate) async fn next(
        &mut self,
        shared: &RouterShared,
        deadline: ClockMillis,
    ) -> AttemptEvent {
        loop {
            if self.connection.is_none()
                && let Err(event) = self.resume(shared, deadline).await
            {
                self.ended = !matches!(event, AttemptEvent::DeadlinePassed);
                return event;
            }
            let left = deadline.since(ClockMillis::now());
            if left.as_millis() == 0 {
                return AttemptEvent::DeadlinePassed;
            }
            let limit = shared.settings.silence_limit().min(left);
            let received = match &mut self.connection {
                Some(connection) => connection.stream.receive(limit).await,
                None => continue,
            };
            let step = match received {
                Ok(frame) => self.handle_frame(shared, frame).await,
                Err(error) => Err(error),
            };
            match step {
                Ok(Some(event)) => return event,
                Ok(None) => {}
                Err(error) => {
                    // A connection in use that broke, fell silent or violated the protocol.
                    shared.metrics.count("link.lost");
                    tracing::debug!(tag = %self.tag, vm = %self.vm.name, %error, "connection lost");
                    self.connection = None;
                }
            }
        }
    }

    /// Handles one frame. After an error the connection must not be used again.
    async fn handle_frame(
        &mut self,
        shared: &RouterShared,
        frame: SideFrame,
    ) -> Result<Option<AttemptEvent>, FrameError> {
        match frame {
            SideFrame::Accepted { tag } => {
                self.check_tag(tag)?;
                self.accepted = true;
                Ok(None)
            }
            SideFrame::Alive { tag } => {
                self.check_tag(tag)?;
                self.resumes = 0;
                Ok(Some(AttemptEvent::Alive))
            }
            SideFrame::Head {
                tag,
                status,
                content_type,
            } => {
                self.check_tag(tag)?;
                if self.head_seen {
                    return Ok(None);
                }
                self.head_seen = true;
                Ok(Some(AttemptEvent::Head(status, content_type)))
            }
            SideFrame::Chunk { tag, offset, bytes } => {
                self.check_tag(tag)?;
                if offset != self.body.len() as u64 {
                    return Err(FrameError::Protocol(format!(
                        "chunk at offset {offset}, expected {}",
                        self.body.len()
                    )));
                }
                self.body.extend_from_slice(&bytes);
                // `RESUME_LIMIT` only counts resumptions without progress.
                self.resumes = 0;
                Ok(Some(AttemptEvent::Chunk(bytes)))
            }
            SideFrame::End { tag, seal, ending } => {
                self.check_tag(tag)?;
                // A `BodySeal` is the length and hash of the body. It has nothing to do with sealing an attempt.
                let found = BodySeal::compute(&self.body);
                if found.length < seal.length {
                    return Err(FrameError::Protocol(format!(
                        "response ended after {} of {} bytes",
                        found.length, seal.length
                    )));
                }
                if found != seal {
                    self.ended = true;
                    self.connection = None;
                    let reason = format!(
                        "response of {} bytes does not match the length and hash of its end",
                        found.length
                    );
                    return Ok(Some(AttemptEvent::EndedIncomplete(AttemptUpdate::Corrupt(
                        reason,
                    ))));
                }
                self.confirm().await;
                self.finish(shared);
                Ok(Some(event_from_ending(ending)))
            }
            SideFrame::Refused {
                tag,
                reason,
                load,
                retry_after,
            } => {
                self.check_tag(tag)?;
                self.finish(shared);
                // The call flow names a refusal of a side process a decline.
                let note = DeclineReply {
                    reason: reason.into(),
                    load,
                    retry_after,
                };
                Ok(Some(AttemptEvent::EndedIncomplete(
                    AttemptUpdate::Declined(note),
                )))
            }
            SideFrame::Sealed { tag, state } => {
                self.check_tag(tag)?;
                self.finish(shared);
                Ok(Some(self.event_from_seal(state)))
            }
            SideFrame::Welcome { .. } | SideFrame::Prefix { .. } | SideFrame::Cancelled { .. } => {
                Err(FrameError::Protocol("unexpected frame".to_owned()))
            }
        }
    }

    fn event_from_seal(&self, state: SealState) -> AttemptEvent {
        // `Present`: the attempt was not found when the resume arrived, but it was registered before the seal, or its
        // id is used by another request.
        //
        // `Sealed` before acceptance proves that the attempt never runs there. An accepted attempt may have run, and
        // its response is gone.
        AttemptEvent::EndedIncomplete(match state {
            SealState::Sealed if !self.accepted => AttemptUpdate::Declined(DeclineReply {
                reason: DeclineReason::Sealed,
                load: LoadCount::default(),
                retry_after: SpanMillis::default(),
            }),
            SealState::Sealed | SealState::Present(_) | SealState::Expired => {
                AttemptUpdate::Lost("side process cannot provide the response".to_owned())
            }
        })
    }

    fn check_tag(&self, tag: AttemptTag) -> Result<(), FrameError> {
        if tag == self.tag {
            return Ok(());
        }
        Err(FrameError::Protocol(format!(
            "frame of attempt {tag}, expected {}",
            self.tag
        )))
    }

    /// Confirms to the side process that the whole response has arrived.
    async fn confirm(&mut self) {
        let tag = self.tag;
        let sent = match &mut self.connection {
            Some(connection) => connection.stream.send(&RouterFrame::Received { tag }).await,
            None => Ok(()),
        };
        if let Err(error) = sent {
            // The response is complete regardless; only the connection is discarded.
            tracing::debug!(%tag, %error, "confirming receipt failed");
            self.connection = None;
        }
    }

    /// Returns the connection to the pool after the last frame of the attempt.
    fn finish(&mut self, shared: &RouterShared) {
        self.ended = true;
        if let Some(connection) = self.connection.take() {
            shared
                .connections
                .checkin(self.vm.data, connection, ClockMillis::now());
        }
    }

    /// Requests the rest of the response on a new connection. A side process that never received the dispatch seals the
    /// attempt: it records that the attempt must never start there.
    async fn resume(
        &mut self,
        shared: &RouterShared,
        deadline: ClockMillis,
    ) -> Result<(), AttemptEvent> {
        let mut reason = "connection lost".to_owned();
        while self.resumes < RESUME_LIMIT {
            let left = deadline.since(ClockMillis::now());
            if left.as_millis() == 0 {
                return Err(AttemptEvent::DeadlinePassed);
            }
            self.resumes += 1;
            shared.metrics.count("resume");
            let connected = shared
                .connections
                .connect_within(&self.vm.name, self.vm.data, left);
            let connection = match connected.await {
                Ok(connection) => connection,
                Err(error) => {
                    reason = error.to_string();
                    if is_connection_refused(&error) {
                        break;
                    }
                    continue;
                }
            };
            if connection.incarnation != self.incarnation {
                reason = "side process has restarted".to_owned();
                break;
            }
            self.connection = Some(connection);
            let frame = RouterFrame::Resume {
                tag: self.tag,
                offset: self.body.len() as u64,
            };
            let sent = match &mut self.connection {
                Some(connection) => connection.stream.send(&frame).await,
                None => continue,
            };
            match sent {
                Ok(()) => return Ok(()),
                Err(error) => {
                    reason = error.to_string();
                    self.connection = None;
                }
            }
        }
        Err(AttemptEvent::EndedIncomplete(AttemptUpdate::Lost(reason)))
    }

    /// Cancels the attempt at the side process in the background: an unresponsive side process must not delay the final
    /// response to the caller.
    pub(crate) fn cancel(self, shared: &Arc<RouterShared>) {
        if self.ended {
            return;
        }
        let Ok(runtime) = Handle::try_current() else {
            tracing::debug!(tag = %self.tag, "cannot send the cancellation outside of a runtime");
            return;
        };
        let shared = Arc::clone(shared);
        runtime.spawn(async move {
            if let Err(error) = send_cancel(&shared, self.tag, &self.vm).await {
                shared.metrics.count("cancel.failed");
                tracing::debug!(tag = %self.tag, %error, "sending the cancellation failed");
            }
        });
    }
}

fn event_from_ending(ending: AttemptEnding) -> AttemptEvent {
    AttemptEvent::EndedIncomplete(match ending {
        AttemptEnding::Completed {
            prompt_tokens,
            cached_tokens,
            completion_tokens,
        } => {
            return AttemptEvent::Completed(TokenUsage {
                prompt_tokens,
                cached_tokens,
                completion_tokens,
            });
        }
        AttemptEnding::NotRun(reason) => AttemptUpdate::NotRun(reason),
        AttemptEnding::Shed(retry_after) => AttemptUpdate::Shed(retry_after),
        AttemptEnding::Failed(reason) => AttemptUpdate::Failed(reason),
        AttemptEnding::Crashed(reason) => AttemptUpdate::Crashed(reason),
        AttemptEnding::Cancelled => AttemptUpdate::Lost("attempt was cancelled".to_owned()),
    })
}

fn is_connection_refused(error: &FrameError) -> bool {
    matches!(error, FrameError::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused)
}

async fn send_cancel(
    shared: &RouterShared,
    tag: AttemptTag,
    vm: &VmEntry,
) -> Result<(), FrameError> {
    // A pooled connection may be dead, which would lose the cancellation.
    let mut connection = shared.connections.connect(&vm.name, vm.data).await?;
    connection.stream.send(&RouterFrame::Cancel { tag }).await?;
    let limit = shared.settings.silence_limit();
    let reply: SideFrame = connection.stream.receive(limit).await?;
    if matches!(reply, SideFrame::Cancelled { tag: found } if found == tag) {
        shared
            .connections
            .checkin(vm.data, connection, ClockMillis::now());
    }
    Ok(())
}
