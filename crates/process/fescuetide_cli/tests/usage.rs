//! The command line of the tool, run without a fleet.

use std::path::Path;
use std::process::Command;
use std::process::Output;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fescuetide"))
        .args(arguments)
        .current_dir(Path::new(env!("CARGO_TARGET_TMPDIR")))
        .output()
        .expect("tool runs")
}

fn code(arguments: &[&str]) -> Option<i32> {
    run(arguments).status.code()
}

/// Guards against a command without help, and against one that is missing from the list of commands.
#[test]
fn every_command_has_help() {
    let list = String::from_utf8(run(&["--help"]).stdout).expect("text");
    let commands = [
        "class publish",
        "class show",
        "class revise",
        "class remove",
        "class history",
        "status",
        "drain",
    ];
    for command in commands {
        assert!(
            list.contains(&format!("\n  {command} ")),
            "{command}: {list}"
        );
        let mut arguments: Vec<&str> = command.split(' ').collect();
        arguments.push("--help");
        let output = run(&arguments);
        let text = String::from_utf8(output.stdout).expect("text");
        assert_eq!(output.status.code(), Some(0), "{command}");
        assert!(
            text.contains(&format!("Usage: fescuetide {command}")),
            "{text}"
        );
    }
    assert_eq!(code(&["class", "--help"]), Some(0));
    assert_eq!(code(&["--version"]), Some(0));
}

/// Guards against invalid usage that runs a command, or that has the exit code of a failed command.
#[test]
fn wrong_usage_has_its_own_exit_code() {
    let wrong: [&[&str]; 8] = [
        &[],
        &["clas", "show"],
        &["class"],
        &["class", "revise", "chat"],
        &["status", "--wait"],
        &["drain"],
        &["status", "--log-url", "ftp://x"],
        &["class", "publish", "no-such-file.toml"],
    ];
    for arguments in wrong {
        assert_eq!(code(arguments), Some(2), "{arguments:?}");
    }
    // Nothing listens on port 1.
    assert_eq!(
        code(&["status", "--vm-list-url", "http://127.0.0.1:1"]),
        Some(1)
    );
}

/// Guards against findings about the tool's settings file that are ignored.
#[test]
fn settings_file_is_checked() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("tool.toml");
    std::fs::write(&path, "log_url = \"here\"\nauthors = 3\n").expect("file is written");
    let output = run(&["status", "--config", path.to_str().expect("path")]);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8(output.stderr).expect("text");
    assert!(errors.contains("line 1, key \"log_url\""), "{errors}");
    assert!(
        errors.contains("line 2, key \"authors\": unknown key"),
        "{errors}"
    );
}
