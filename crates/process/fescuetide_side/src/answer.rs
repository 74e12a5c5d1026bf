//! The buffer that holds a response while it is produced and until it is no longer needed.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_wire::frame::AttemptEnding;
use fescuetide_wire::frame::BodySeal;

/// The most bytes of one chunk. A frame above its own limit would end the connection each time it is sent.
const CHUNK_LIMIT_BYTES: usize = 256 * 1024;

#[derive(Debug, Default)]
struct AnswerState {
    head: Option<(u16, String)>,
    body: Vec<u8>,
    ending: Option<AttemptEnding>,
    cancelled: bool,
    readers: u32,
    delivered: bool,
    idle_since: ClockMillis,
    first_part_at: Option<ClockMillis>,
}

/// The next thing to send to a reader.
#[derive(Debug)]
pub(crate) enum AnswerStep {
    /// Status and content type.
    Head(u16, String),
    /// Bytes from the reader's offset on.
    Chunk(Vec<u8>),
    /// The end.
    End(AttemptEnding, BodySeal),
    /// Nothing new within the time given.
    Idle,
}

/// A response that one thread produces and any number of connections read, each from its own offset.
#[derive(Debug)]
pub(crate) struct AnswerBuffer {
    state: Mutex<AnswerState>,
    changed: Condvar,
}

impl AnswerBuffer {
    pub(crate) fn new(now: ClockMillis) -> Self {
        Self {
            state: Mutex::new(AnswerState {
                idle_since: now,
                ..AnswerState::default()
            }),
            changed: Condvar::new(),
        }
    }

    pub(crate) fn set_head(&self, status: u16, content_type: String) {
        self.lock().head = Some((status, content_type));
        self.changed.notify_all();
    }

    pub(crate) fn append(&self, bytes: &[u8]) {
        let mut state = self.lock();
        state.body.extend_from_slice(bytes);
        state.first_part_at.get_or_insert_with(ClockMillis::now);
        drop(state);
        self.changed.notify_all();
    }

    /// Ends the response. A response that was cancelled ends as such.
    pub(crate) fn finish(&self, ending: AttemptEnding, now: ClockMillis) {
        let mut state = self.lock();
        let ending = match ending {
            AttemptEnding::Failed(_) | AttemptEnding::Crashed(_) if state.cancelled => {
                AttemptEnding::Cancelled
            }
            other => other,
        };
        state.ending = Some(ending);
        state.idle_since = now;
        drop(state);
        self.changed.notify_all();
    }

    /// Marks the response as cancelled. Returns whether it was still in progress.
    pub(crate) fn cancel(&self) -> bool {
        let mut state = self.lock();
        state.cancelled = true;
        state.ending.is_none()
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.lock().cancelled
    }

    /// When the first part of the body arrived.
    pub(crate) fn first_part_at(&self) -> Option<ClockMillis> {
        self.lock().first_part_at
    }

    /// Bytes of the body so far.
    pub(crate) fn body_length(&self) -> usize {
        self.lock().body.len()
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.lock().ending.is_some()
    }

    /// The time since the response ended or lost its last reader, `None` while it is read.
    pub(crate) fn idle_span(&self, now: ClockMillis) -> Option<SpanMillis> {
        let state = self.lock();
        if state.readers > 0 {
            return None;
        }
        Some(now.since(state.idle_since))
    }

    pub(crate) fn attach(&self) {
        self.lock().readers += 1;
    }

    pub(crate) fn detach(&self, now: ClockMillis) {
        let mut state = self.lock();
        state.readers -= 1;
        state.idle_since = now;
    }

    /// Notes that a reader has received the whole response.
    pub(crate) fn note_delivered(&self) {
        self.lock().delivered = true;
    }

    /// Whether a reader may still come for the response: it is in progress, is being read, or was last
    /// read less than `grace` ago without a confirmation.
    pub(crate) fn is_awaited(&self, grace: SpanMillis, now: ClockMillis) -> bool {
        let state = self.lock();
        if state.readers > 0 || state.ending.is_none() {
            return true;
        }
        !state.delivered && !state.cancelled && now.since(state.idle_since) <= grace
    }

    /// Waits up to `timeout` for something behind `offset`.
    pub(crate) fn wait(&self, head_sent: bool, offset: u64, timeout: SpanMillis) -> AnswerStep {
        let state = self.lock();
        let offset = offset as usize;
        let (state, _) = self
            .changed
            .wait_timeout_while(state, timeout.into(), |state| {
                let head_ready = !head_sent && state.head.is_some();
                !head_ready && state.body.len() <= offset && state.ending.is_none()
            })
            .unwrap_or_else(PoisonError::into_inner);
        if !head_sent && let Some((status, content_type)) = &state.head {
            return AnswerStep::Head(*status, content_type.clone());
        }
        if state.body.len() > offset {
            let end = chunk_end(&state.body, offset);
            return AnswerStep::Chunk(state.body[offset..end].to_vec());
        }
        match &state.ending {
            Some(ending) => AnswerStep::End(ending.clone(), BodySeal::compute(&state.body)),
            None => AnswerStep::Idle,
        }
    }

    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Where the chunk from `offset` on ends. Does not split a UTF-8 character, since generation may go on behind a chunk.
fn chunk_end(body: &[u8], offset: usize) -> usize {
    let limit = offset + CHUNK_LIMIT_BYTES;
    if body.len() <= limit {
        return body.len();
    }
    // A character has at most 3 continuation bytes; bytes that are not text are cut at the limit.
    for end in (limit - 3..=limit).rev() {
        if body[end] & 0b1100_0000 != 0b1000_0000 {
            return end;
        }
    }
    limit
}
