//! Command-line tool for operators: publishes classes, inspects the fleet and requests, and drains VMs.

mod arguments;
mod class_file;
mod class_stream;
mod command;
mod command_line;
mod commands;
mod context;
mod fleet;
mod report;
mod timeline;
mod wait;

use std::process::ExitCode;

use crate::arguments::CommandArguments;
use crate::command::CommandSpec;
use crate::command_line::ToolRequest;
use crate::context::ToolContext;
use crate::report::CommandReport;
use crate::report::ToolError;

fn main() -> ExitCode {
    let request = match command_line::parse_request() {
        Ok(request) => request,
        Err(error) => {
            eprintln!("fescuetide: {error}; see fescuetide --help");
            return ExitCode::from(report::USAGE_EXIT_CODE);
        }
    };
    match request {
        ToolRequest::Help(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        ToolRequest::Version => {
            println!("fescuetide {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        ToolRequest::Run(spec, arguments) => {
            let result = run_command(spec, &arguments);
            report::print_result(&result, arguments.has_flag("json"))
        }
    }
}

fn run_command(
    spec: &CommandSpec,
    arguments: &CommandArguments,
) -> Result<CommandReport, ToolError> {
    let context = ToolContext::new(arguments)?;
    (spec.run)(&context, arguments)
}
