//! One attempt at a request over the framed protocol, with resumption on a new connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_members::VmEntry;
use fescuetide_net::FrameError;
use fescuetide_net::SideLink;
use fescuetide_wire::frame::AttemptEnding;
use fescuetide_wire::frame::AttemptTag;
use fescuetide_wire::frame::BodySeal;
use fescuetide_wire::frame::DispatchFrame;
use fescuetide_wire::frame::RefusalReason;
use fescuetide_wire::frame::RouterFrame;
use fescuetide_wire::frame::SealState;
use fescuetide_wire::frame::SideFrame;

use crate::RouterShared;
use crate::policy::AttemptCount;

/// How often a response is resumed before the attempt counts as lost.
const RESUME_LIMIT: u32 = 3;

/// What an attempt yields next.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// Status and content type of the response.
    Head(u16, String),
    /// The next bytes of the response body.
    Chunk(Vec<u8>),
    /// Nothing new for a heartbeat interval.
    Alive,
    /// The end, checked against length and hash.
    End(AttemptEnding),
    /// Refused: the attempt did not run and never will.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// The side process's load.
        load: LoadCount,
        /// When to come back.
        retry_after: SpanMillis,
    },
    /// The side process or its incarnation is gone: the attempt may have run.
    Lost(String),
    /// The bytes received so far are not those of the response: nothing can go on behind them.
    Corrupt(String),
    /// The deadline has passed while the attempt was in progress.
    DeadlinePassed,
}

/// Why an attempt was not started.
#[derive(Debug)]
pub(crate) struct NotSent(pub(crate) FrameError);

/// An attempt in progress.
pub(crate) struct LiveAttempt {
    tag: AttemptTag,
    vm: VmEntry,
    incarnation: ProcessIncarnation,
    link: Option<SideLink>,
    body: Vec<u8>,
    resumes: u32,
    accepted: bool,
    head_seen: bool,
    ended: bool,
    /// Counts the attempt for the policy that measures load by attempts in progress.
    _count: Option<AttemptCount>,
}

impl LiveAttempt {
    /// Connects to the side process of `vm` and sends the dispatch.
    ///
    /// # Errors
    ///
    /// Fails when no connection could be made; the attempt was not sent then.
    pub(crate) fn start(
        shared: &RouterShared,
        vm: &VmEntry,
        dispatch: DispatchFrame,
    ) -> Result<Self, NotSent> {
        let link = shared
            .links
            .checkout_within(&vm.name, vm.data, ClockMillis::now(), dispatch.deadline)
            .map_err(NotSent)?;
        let attempt = Self::start_on(vm, link, dispatch);
        Ok(Self {
            _count: Some(shared.policy.count_attempt(&vm.name)),
            ..attempt
        })
    }

    /// Sends the dispatch over `link` to the incarnation that answered there.
    pub(crate) fn start_on(vm: &VmEntry, link: SideLink, mut dispatch: DispatchFrame) -> Self {
        dispatch.target = link.incarnation;
        let tag = dispatch.tag;
        Self::new(tag, vm, link).send_first(&RouterFrame::Dispatch(Box::new(dispatch)))
    }

    /// Asks over `link` for the response of an attempt that was admitted before.
    pub(crate) fn join(vm: &VmEntry, link: SideLink, tag: AttemptTag) -> Self {
        let attempt = Self {
            accepted: true,
            ..Self::new(tag, vm, link)
        };
        attempt.send_first(&RouterFrame::Resume { tag, offset: 0 })
    }

    fn new(tag: AttemptTag, vm: &VmEntry, link: SideLink) -> Self {
        Self {
            tag,
            vm: vm.clone(),
            incarnation: link.incarnation,
            link: Some(link),
            body: Vec::new(),
            resumes: 0,
            accepted: false,
            head_seen: false,
            ended: false,
            _count: None,
        }
    }

    fn send_first(mut self, frame: &RouterFrame) -> Self {
        let sent = match &mut self.link {
            Some(link) => link.stream.send(frame),
            None => Ok(()),
        };
        if let Err(error) = sent {
            // Part of the frame may have arrived; the next event asks on a new connection.
            tracing::debug!(tag = %self.tag, %error, "first frame was not sent in full");
            self.link = None;
        }
        self
    }

    pub(crate) fn tag(&self) -> AttemptTag {
        self.tag
    }

    pub(crate) fn vm(&self) -> &VmEntry {
        &self.vm
    }

    /// Waits for the next event, at most until `deadline`.
    pub(crate) fn next(&mut self, shared: &RouterShared, deadline: ClockMillis) -> AttemptEvent {
        loop {
            if self.link.is_none()
                && let Err(event) = self.resume(shared, deadline)
            {
                self.ended = !matches!(event, AttemptEvent::DeadlinePassed);
                return event;
            }
            let left = deadline.since(ClockMillis::now());
            if left.as_millis() == 0 {
                return AttemptEvent::DeadlinePassed;
            }
            let limit = Some(shared.settings.silence_limit().min(left));
            let received = match &mut self.link {
                Some(link) => link.stream.receive(limit),
                None => continue,
            };
            let step = match received {
                Ok(frame) => self.take_frame(shared, frame),
                Err(error) => Err(error),
            };
            match step {
                Ok(Some(event)) => return event,
                Ok(None) => {}
                Err(error) => {
                    shared.metrics.count("link.lost");
                    tracing::debug!(tag = %self.tag, vm = %self.vm.name, %error, "connection lost");
                    self.link = None;
                }
            }
        }
    }

    /// Takes in one frame. An error makes the connection unusable.
    fn take_frame(
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
                // The limit is on resumptions without progress.
                self.resumes = 0;
                Ok(Some(AttemptEvent::Chunk(bytes)))
            }
            SideFrame::End { tag, seal, ending } => {
                self.check_tag(tag)?;
                let found = BodySeal::of(&self.body);
                if found.length < seal.length {
                    return Err(FrameError::Protocol(format!(
                        "response ended after {} of {} bytes",
                        found.length, seal.length
                    )));
                }
                if found != seal {
                    self.ended = true;
                    self.link = None;
                    return Ok(Some(AttemptEvent::Corrupt(format!(
                        "response of {} bytes does not match the length and hash of its end",
                        found.length
                    ))));
                }
                self.confirm();
                self.finish(shared);
                Ok(Some(AttemptEvent::End(ending)))
            }
            SideFrame::Refused {
                tag,
                reason,
                load,
                retry_after,
            } => {
                self.check_tag(tag)?;
                self.finish(shared);
                Ok(Some(AttemptEvent::Refused {
                    reason,
                    load,
                    retry_after,
                }))
            }
            SideFrame::Sealed { tag, state } => {
                self.check_tag(tag)?;
                self.finish(shared);
                Ok(Some(self.event_of_seal(state)))
            }
            SideFrame::Welcome { .. } | SideFrame::Prefix { .. } | SideFrame::Cancelled { .. } => {
                Err(FrameError::Protocol("unexpected frame".to_owned()))
            }
        }
    }

    fn event_of_seal(&self, state: SealState) -> AttemptEvent {
        match state {
            SealState::Sealed if !self.accepted => AttemptEvent::Refused {
                reason: RefusalReason::Sealed,
                load: LoadCount::default(),
                retry_after: SpanMillis::default(),
            },
            SealState::Sealed | SealState::Present(_) | SealState::Expired => {
                AttemptEvent::Lost("side process no longer has the response".to_owned())
            }
        }
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

    /// Confirms that the whole response has arrived.
    fn confirm(&mut self) {
        let tag = self.tag;
        let sent = match &mut self.link {
            Some(link) => link.stream.send(&RouterFrame::Received { tag }),
            None => Ok(()),
        };
        if let Err(error) = sent {
            // The response is complete all the same; the connection is not used again.
            tracing::debug!(%tag, %error, "receipt was not confirmed");
            self.link = None;
        }
    }

    /// Gives the connection back after the last frame of the attempt.
    fn finish(&mut self, shared: &RouterShared) {
        self.ended = true;
        if let Some(link) = self.link.take() {
            shared
                .links
                .give_back(self.vm.data, link, ClockMillis::now());
        }
    }

    /// Asks for the rest of the response on a new connection. This also seals an attempt that never arrived.
    fn resume(&mut self, shared: &RouterShared, deadline: ClockMillis) -> Result<(), AttemptEvent> {
        let mut reason = "connection lost".to_owned();
        while self.resumes < RESUME_LIMIT {
            let left = deadline.since(ClockMillis::now());
            if left.as_millis() == 0 {
                return Err(AttemptEvent::DeadlinePassed);
            }
            self.resumes += 1;
            shared.metrics.count("resume");
            let link = match shared
                .links
                .connect_within(&self.vm.name, self.vm.data, left)
            {
                Ok(link) => link,
                Err(error) => {
                    reason = error.to_string();
                    if is_refused(&error) {
                        break;
                    }
                    continue;
                }
            };
            if link.incarnation != self.incarnation {
                reason = "side process has restarted".to_owned();
                break;
            }
            self.link = Some(link);
            let frame = RouterFrame::Resume {
                tag: self.tag,
                offset: self.body.len() as u64,
            };
            let sent = match &mut self.link {
                Some(link) => link.stream.send(&frame),
                None => continue,
            };
            match sent {
                Ok(()) => return Ok(()),
                Err(error) => {
                    reason = error.to_string();
                    self.link = None;
                }
            }
        }
        Err(AttemptEvent::Lost(reason))
    }

    /// Tells the side process that the response is no longer wanted. Does not wait for it: a silent side process must
    /// not hold up the final response to the caller.
    pub(crate) fn cancel(&mut self, shared: &Arc<RouterShared>) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.link = None;
        let shared = Arc::clone(shared);
        let (tag, vm) = (self.tag, self.vm.clone());
        let spawned = thread::Builder::new()
            .name("router-cancel".to_owned())
            .spawn(move || {
                if let Err(error) = send_cancel(&shared, tag, &vm.name, vm.data) {
                    shared.metrics.count("cancel.failed");
                    tracing::debug!(%tag, %error, "cancellation was not sent");
                }
            });
        if let Err(error) = spawned {
            tracing::debug!(tag = %self.tag, %error, "no thread for a cancellation");
        }
    }
}

fn is_refused(error: &FrameError) -> bool {
    matches!(error, FrameError::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn send_cancel(
    shared: &RouterShared,
    tag: AttemptTag,
    vm: &fescuetide_base::VmName,
    address: SocketAddr,
) -> Result<(), FrameError> {
    // An idle connection may have gone silent, which would lose the cancellation.
    let mut link = shared.links.connect(vm, address)?;
    link.stream.send(&RouterFrame::Cancel { tag })?;
    let reply: SideFrame = link.stream.receive(Some(shared.settings.silence_limit()))?;
    if matches!(reply, SideFrame::Cancelled { tag: found } if found == tag) {
        shared.links.give_back(address, link, ClockMillis::now());
    }
    Ok(())
}
