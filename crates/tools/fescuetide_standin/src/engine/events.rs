//! Streaming of a response as server-sent events.

use std::sync::mpsc::Receiver;

use fescuetide_net::BodySource;
use fescuetide_net::HttpResponse;
use fescuetide_wire::api::ChatChoice;
use fescuetide_wire::api::ChatDelta;
use fescuetide_wire::api::ChatEvent;

use super::GenerationEvent;

pub(super) fn stream_response(receiver: Receiver<GenerationEvent>) -> HttpResponse {
    let source = GenerationStream {
        receiver,
        ended: false,
    };
    HttpResponse::blocking_stream("text/event-stream", source)
}

struct GenerationStream {
    receiver: Receiver<GenerationEvent>,
    ended: bool,
}

impl BodySource for GenerationStream {
    fn next_part(&mut self) -> Option<Vec<u8>> {
        if self.ended {
            return None;
        }
        match self.receiver.recv() {
            Ok(GenerationEvent::Token(text)) => Some(encode_sse_event(&ChatEvent {
                choices: vec![ChatChoice {
                    delta: ChatDelta {
                        content: Some(text),
                    },
                    ..ChatChoice::default()
                }],
                ..ChatEvent::default()
            })),
            Ok(GenerationEvent::Done(usage)) => {
                self.ended = true;
                let mut text = encode_sse_event(&ChatEvent {
                    usage: Some(usage),
                    ..ChatEvent::default()
                });
                text.extend_from_slice(b"data: [DONE]\n\n");
                Some(text)
            }
            // The request was cancelled, so the stream ends without `[DONE]`.
            Err(_) => None,
        }
    }
}

fn encode_sse_event(event: &ChatEvent) -> Vec<u8> {
    let json = serde_json::to_string(event).unwrap_or_default();
    format!("data: {json}\n\n").into_bytes()
}
