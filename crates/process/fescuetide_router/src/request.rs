//! Parsing and validation of requests from callers.

use std::str::FromStr;

use fescuetide_base::ChatName;
use fescuetide_base::ClassName;
use fescuetide_base::ClockMillis;
use fescuetide_base::FindingList;
use fescuetide_base::IdempotencyKey;
use fescuetide_base::ModelName;
use fescuetide_base::PoolName;
use fescuetide_base::RequestId;
use fescuetide_base::SpanMillis;
use fescuetide_base::WorkspaceName;
use fescuetide_classes::ClassTargets;
use fescuetide_net::BodyError;
use fescuetide_net::HttpRequest;
use fescuetide_wire::api::CHAT_HEADER;
use fescuetide_wire::api::CLASS_HEADER;
use fescuetide_wire::api::ChatRequest;
use fescuetide_wire::api::DEADLINE_HEADER;
use fescuetide_wire::api::KEY_HEADER;
use fescuetide_wire::api::WORKSPACE_HEADER;

use crate::RouterShared;
use crate::call::CallSpec;
use crate::call::CallWork;

/// Maximum deadline: one day.
const DEADLINE_LIMIT_MS: u64 = 24 * 3_600 * 1_000;

/// Version number of UUIDs that contain their creation time (UUIDv7).
const TIME_ORDERED_VERSION: usize = 7;

/// The reason why a request is rejected as invalid.
#[derive(Debug)]
pub(crate) enum RejectReason {
    /// Headers or body are invalid.
    Malformed(FindingList),
    /// The body exceeds the limit, given in bytes.
    TooLarge(usize),
}

/// Parses a chat completion request.
pub(crate) fn parse_chat(
    shared: &RouterShared,
    request: &HttpRequest,
) -> Result<CallSpec, RejectReason> {
    let body = read_body(shared, request)?;
    let mut list = FindingList::default();
    let parsed = parse_chat_body(&body, &mut list);
    let work = parsed.map(|(stream, model, messages)| CallWork::Chat {
        body,
        stream,
        model,
        messages,
    });
    let pool = shared.settings.engine_pool.clone();
    make_spec(shared, request, pool, work, list)
}

/// Parses a call to a plain service below `/svc/{pool}/`.
pub(crate) fn parse_service(
    shared: &RouterShared,
    request: &HttpRequest,
    pool: &str,
    path: String,
) -> Result<CallSpec, RejectReason> {
    let body = read_body(shared, request)?;
    let mut list = FindingList::default();
    let Some(pool) = parse_value::<PoolName>("path", pool, &mut list) else {
        return Err(RejectReason::Malformed(list));
    };
    if !shared.view.load().rankings.contains_key(&pool) {
        list.add("path", format!("pool {pool} does not exist"));
    }
    let work = CallWork::Service {
        method: request.method.to_string(),
        path,
        content_type: header_text(request, "content-type", &mut list),
        body,
    };
    make_spec(shared, request, pool, Some(work), list)
}

fn make_spec(
    shared: &RouterShared,
    request: &HttpRequest,
    pool: PoolName,
    work: Option<CallWork>,
    mut list: FindingList,
) -> Result<CallSpec, RejectReason> {
    let received = ClockMillis::now();
    let workspace: Option<WorkspaceName> = required_header(request, WORKSPACE_HEADER, &mut list);
    let chat: Option<ChatName> = optional_header(request, CHAT_HEADER, &mut list);
    let class: Option<ClassName> = required_header(request, CLASS_HEADER, &mut list);
    let key: Option<IdempotencyKey> = optional_header(request, KEY_HEADER, &mut list);
    let span = parse_deadline(shared, request, &mut list);
    let targets = class
        .as_ref()
        .and_then(|class| find_targets(shared, class, &mut list));
    if let Some(targets) = &targets {
        check_key(shared, targets, key, &mut list);
    }
    let (Some(workspace), Some(class), Some(targets), Some(work), true) =
        (workspace, class, targets, work, list.is_empty())
    else {
        return Err(RejectReason::Malformed(list));
    };
    // Repeatable requests may run twice, so their key is ignored.
    let key = if targets.repeatable { None } else { key };
    Ok(CallSpec {
        request: RequestId::generate(),
        workspace,
        chat,
        class,
        class_targets: targets,
        pool,
        key,
        received,
        deadline: received + span,
        work,
    })
}

fn find_targets(
    shared: &RouterShared,
    class: &ClassName,
    list: &mut FindingList,
) -> Option<ClassTargets> {
    let view = shared.view.load();
    let found = view.classes.get(class);
    if found.is_none() {
        list.add(
            format!("header {CLASS_HEADER}"),
            format!("class {class} does not exist"),
        );
    }
    found.map(|(_, targets)| targets)
}

fn check_key(
    shared: &RouterShared,
    targets: &ClassTargets,
    key: Option<IdempotencyKey>,
    list: &mut FindingList,
) {
    let newest = ClockMillis::now() + shared.settings.claim_window().skew;
    let place = format!("header {KEY_HEADER}");
    if targets.repeatable {
        return;
    }
    match key {
        None => list.add(place, "is required for a class that is not repeatable"),
        Some(key) if key.as_uuid().get_version_num() != TIME_ORDERED_VERSION => {
            list.add(place, "must be a UUIDv7, which carries its creation time");
        }
        Some(key) if key.created_at() > newest => {
            list.add(place, "has a creation time in the future");
        }
        Some(_) => {}
    }
}

fn parse_deadline(
    shared: &RouterShared,
    request: &HttpRequest,
    list: &mut FindingList,
) -> SpanMillis {
    let fallback = SpanMillis::new(shared.settings.default_deadline_ms);
    let given: Option<SpanMillis> = optional_header(request, DEADLINE_HEADER, list);
    let Some(span) = given else {
        return fallback;
    };
    if span.as_millis() == 0 || span.as_millis() > DEADLINE_LIMIT_MS {
        list.add(
            format!("header {DEADLINE_HEADER}"),
            format!("{span} is not between 1 and {DEADLINE_LIMIT_MS} ms"),
        );
    }
    span
}

fn parse_chat_body(body: &[u8], list: &mut FindingList) -> Option<(bool, ModelName, u32)> {
    let chat: ChatRequest = match serde_json::from_slice(body) {
        Ok(chat) => chat,
        Err(error) => {
            list.add("body", error.to_string());
            return None;
        }
    };
    if chat.messages.is_empty() {
        list.add("body messages", "must not be empty");
    }
    let model = parse_value("body model", &chat.model, list)?;
    Some((chat.stream, model, chat.messages.len() as u32))
}

fn read_body(shared: &RouterShared, request: &HttpRequest) -> Result<Vec<u8>, RejectReason> {
    match &request.body {
        Ok(body) => Ok(body.clone()),
        Err(BodyError::TooLarge) => Err(RejectReason::TooLarge(shared.settings.body_limit_bytes)),
        Err(BodyError::Incomplete) => {
            let mut list = FindingList::default();
            list.add("body", "is incomplete or malformed");
            Err(RejectReason::Malformed(list))
        }
    }
}

fn required_header<T>(request: &HttpRequest, name: &str, list: &mut FindingList) -> Option<T>
where
    T: FromStr,
    T::Err: ToString,
{
    if !request.headers.contains_key(name) {
        list.add(format!("header {name}"), "is required");
        return None;
    }
    optional_header(request, name, list)
}

fn optional_header<T>(request: &HttpRequest, name: &str, list: &mut FindingList) -> Option<T>
where
    T: FromStr,
    T::Err: ToString,
{
    let text = header_text(request, name, list)?;
    parse_value(&format!("header {name}"), &text, list)
}

fn header_text(request: &HttpRequest, name: &str, list: &mut FindingList) -> Option<String> {
    let value = request.headers.get(name)?;
    match value.to_str() {
        Ok(text) => Some(text.to_owned()),
        Err(_) => {
            list.add(format!("header {name}"), "is not visible ASCII text");
            None
        }
    }
}

fn parse_value<T>(place: &str, text: &str, list: &mut FindingList) -> Option<T>
where
    T: FromStr,
    T::Err: ToString,
{
    match text.parse() {
        Ok(value) => Some(value),
        Err(error) => {
            list.add(place, format!("{text:?}: {}", error.to_string()));
            None
        }
    }
}
