//! The command `trace`: one request with all its attempts.

use anyhow::Context;
use fescuetide_base::LogOffset;
use fescuetide_base::RequestId;
use fescuetide_members::VmEntry;
use fescuetide_records::RequestRecord;
use fescuetide_wire::records::REQUEST_STREAM;
use fescuetide_wire::records::RequestBatch;
use fescuetide_wire::records::RequestWire;
use serde_json::json;

use crate::arguments::CommandArguments;
use crate::command::CommandSpec;
use crate::context::ToolContext;
use crate::fleet;
use crate::report::CommandReport;
use crate::report::ToolError;
use crate::report::write_table;

/// Maximum number of log records per read. Each record is a batch of requests.
const READ_LIMIT_RECORDS: u32 = 100;

pub(crate) const SPEC: CommandSpec = CommandSpec {
    name: "trace",
    summary: "Show a request with every attempt",
    usage: "REQUEST_ID",
    help: "
The id is in the response header fescuetide-request, and in the last event of a
stream. Routers are asked first; when the router that served the request is
gone, the log is searched.
",
    positional_count: 1..=1,
    flags: &[],
    options: &[],
    run,
};

fn run(context: &ToolContext, arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let id: RequestId = arguments.parse_positional(0, "REQUEST_ID")?;
    // The log may contain the request even if the VM list cannot be read.
    let found = match query_routers(context, id) {
        Ok(Some(wire)) => Some(wire),
        Ok(None) => search_log(context, id)?,
        Err(error) => search_log(context, id).context(error)?,
    };
    let Some(wire) = found else {
        return Err(anyhow::anyhow!(
            "request {id} was found neither on a live router nor in the log"
        )
        .into());
    };
    let json = json!(wire);
    Ok(CommandReport {
        text: describe(&RequestRecord::from(wire)),
        json,
        ..CommandReport::default()
    })
}

async fn fetch_request(entry: VmEntry, id: RequestId) -> anyhow::Result<Option<RequestWire>> {
    let client = fleet::connect_router(&entry).await?;
    Ok(client.trace(fleet::deadline(), id).await?)
}

fn query_routers(context: &ToolContext, id: RequestId) -> anyhow::Result<Option<RequestWire>> {
    let routers = fleet::live_routers(&context.read_vms()?);
    for result in fleet::call_all(context, &routers, |entry| fetch_request(entry, id)) {
        // Routers that do not answer are skipped, because their records may be in the log.
        if let Ok(Some(wire)) = result {
            return Ok(Some(wire));
        }
    }
    Ok(None)
}

fn search_log(context: &ToolContext, id: RequestId) -> anyhow::Result<Option<RequestWire>> {
    let mut from = LogOffset::default();
    loop {
        let reply = context
            .log
            .read(REQUEST_STREAM, from, READ_LIMIT_RECORDS)
            .with_context(|| format!("log service at {}", context.settings.log_url))?;
        let Some(last) = reply.records.last() else {
            return Ok(None);
        };
        from = LogOffset::new(last.offset + 1);
        for record in &reply.records {
            let Ok(batch) = serde_json::from_str::<RequestBatch>(&record.data) else {
                continue;
            };
            for request in batch.requests {
                if request.request == id {
                    return Ok(Some(request));
                }
            }
        }
    }
}

fn describe(record: &RequestRecord) -> String {
    let first_part = match record.first_part {
        Some(span) => span.to_string(),
        None => "none".to_owned(),
    };
    let mut text = format!(
        "request    {}\nrouter     {}\nworkspace  {}\nclass      {}\npool       {}\nreceived   {} ms\n\
         first part {first_part}\nend        {}\noutcome    {}\n",
        record.request,
        record.router,
        record.workspace,
        record.class,
        record.pool,
        record.received,
        record.span,
        record.outcome
    );
    if !record.reason.is_empty() {
        text.push_str(&format!("reason     {}\n", record.reason));
    }
    text.push('\n');
    let heading = ["attempt", "VM", "after", "took", "result"];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    for attempt in &record.attempts {
        rows.push(vec![
            attempt.attempt.to_string(),
            attempt.vm.to_string(),
            attempt.started.since(record.received).to_string(),
            attempt.span.to_string(),
            attempt.result.to_string(),
        ]);
    }
    write_table(&mut text, &rows);
    text
}
