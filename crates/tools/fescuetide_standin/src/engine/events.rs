//! The server-sent events of a response.

use std::sync::mpsc::Receiver;

use fescuetide_net::BodySource;
use fescuetide_net::HttpResponse;
use fescuetide_wire::api::ChatChoice;
use fescuetide_wire::api::ChatDelta;
use fescuetide_wire::api::ChatEvent;

use super::EngineNews;

pub(super) fn stream_response(receiver: Receiver<EngineNews>) -> HttpResponse {
    let source = EngineEvents {
        receiver,
        ended: false,
    };
    HttpResponse::blocking_stream("text/event-stream", source)
}

struct EngineEvents {
    receiver: Receiver<EngineNews>,
    ended: bool,
}

impl BodySource for EngineEvents {
    fn next_part(&mut self) -> Option<Vec<u8>> {
        if self.ended {
            return None;
        }
        match self.receiver.recv() {
            Ok(EngineNews::Token(text)) => Some(event_text(&ChatEvent {
                choices: vec![ChatChoice {
                    delta: ChatDelta {
                        content: Some(text),
                    },
                    ..ChatChoice::default()
                }],
                ..ChatEvent::default()
            })),
            Ok(EngineNews::Done(usage)) => {
                self.ended = true;
                let mut text = event_text(&ChatEvent {
                    usage: Some(usage),
                    ..ChatEvent::default()
                });
                text.extend_from_slice(b"data: [DONE]\n\n");
                Some(text)
            }
            // The request was cancelled; the stream ends without its last event.
            Err(_) => None,
        }
    }
}

fn event_text(event: &ChatEvent) -> Vec<u8> {
    let json = serde_json::to_string(event).unwrap_or_default();
    format!("data: {json}\n\n").into_bytes()
}
