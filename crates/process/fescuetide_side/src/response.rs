//! Buffers for responses, from their first byte until they are no longer needed.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_wire::frame::AttemptEnding;
use fescuetide_wire::frame::BodySeal;

/// Maximum size of a chunk, well below `FRAME_LIMIT_BYTES`. A frame above that limit cannot be sent, so the response
/// could not be resumed at the same offset either.
const CHUNK_LIMIT_BYTES: usize = 256 * 1024;

#[derive(Debug, Default)]
struct ResponseState {
    head: Option<(u16, String)>,
    body: Vec<u8>,
    ending: Option<AttemptEnding>,
    cancelled: bool,
    readers: u32,
    /// Whether a reader confirmed receipt of the whole response.
    confirmed: bool,
    idle_since: ClockMillis,
    first_part_at: Option<ClockMillis>,
}

/// The next step in sending a response to a reader.
#[derive(Debug)]
pub(crate) enum ResponseStep {
    /// Status and content type of the response.
    Head(u16, String),
    /// Bytes of the body, starting at the offset of the reader.
    Chunk(Vec<u8>),
    /// The end of the response, with the length and hash of the body.
    End(AttemptEnding, BodySeal),
    /// No change within the timeout.
    Idle,
}

/// A response with one producer thread and any number of reading connections, each with its own offset.
#[derive(Debug)]
pub(crate) struct ResponseBuffer {
    state: Mutex<ResponseState>,
    changed: Condvar,
}

impl ResponseBuffer {
    pub(crate) fn new(now: ClockMillis) -> Self {
        Self {
            state: Mutex::new(ResponseState {
                idle_since: now,
                ..ResponseState::default()
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

    /// Ends the response. If it was cancelled, a failure or crash is recorded as `Cancelled`.
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

    /// Marks the response as cancelled. Returns whether it is still in progress.
    pub(crate) fn cancel(&self) -> bool {
        let mut state = self.lock();
        state.cancelled = true;
        state.ending.is_none()
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.lock().cancelled
    }

    /// Returns when the first bytes of the body arrived.
    pub(crate) fn first_part_at(&self) -> Option<ClockMillis> {
        self.lock().first_part_at
    }

    /// Returns the current length of the body in bytes.
    pub(crate) fn body_length(&self) -> usize {
        self.lock().body.len()
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.lock().ending.is_some()
    }

    /// Returns the time since the response ended or last lost a reader, or `None` while it has readers.
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

    /// Records that a reader confirmed receipt of the whole response.
    pub(crate) fn mark_confirmed(&self) {
        self.lock().confirmed = true;
    }

    /// Returns whether a reader may still request the response: it is in progress, has readers, or has been idle for at
    /// most `grace` without a confirmation or a cancellation.
    pub(crate) fn is_awaited(&self, grace: SpanMillis, now: ClockMillis) -> bool {
        let state = self.lock();
        if state.readers > 0 || state.ending.is_none() {
            return true;
        }
        !state.confirmed && !state.cancelled && now.since(state.idle_since) <= grace
    }

    /// Waits up to `timeout` for the head, for bytes after `offset` or for the end of the response.
    pub(crate) fn wait(&self, head_sent: bool, offset: u64, timeout: SpanMillis) -> ResponseStep {
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
            return ResponseStep::Head(*status, content_type.clone());
        }
        if state.body.len() > offset {
            let end = chunk_end(&state.body, offset);
            return ResponseStep::Chunk(state.body[offset..end].to_vec());
        }
        match &state.ending {
            Some(ending) => ResponseStep::End(ending.clone(), BodySeal::compute(&state.body)),
            None => ResponseStep::Idle,
        }
    }

    fn lock(&self) -> MutexGuard<'_, ResponseState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the end of the chunk that starts at `offset`. It never splits a UTF-8 character, since another engine may
/// continue the generation after any chunk.
fn chunk_end(body: &[u8], offset: usize) -> usize {
    let limit = offset + CHUNK_LIMIT_BYTES;
    if body.len() <= limit {
        return body.len();
    }
    // A UTF-8 character has at most 3 continuation bytes. Other data is cut at the limit.
    for end in (limit - 3..=limit).rev() {
        if body[end] & 0b1100_0000 != 0b1000_0000 {
            return end;
        }
    }
    limit
}
