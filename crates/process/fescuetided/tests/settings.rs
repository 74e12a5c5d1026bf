//! Validation of settings files, and agreement of `docs/configuration.md` with the settings structs.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;

use fescuetide_router::RouterSettings;
use fescuetide_side::SideSettings;
use fescuetided::settings::LogSettings;
use serde::de::DeserializeOwned;

/// Writes `text` to the settings file `name` and runs the daemon in its folder. Returns the exit code and standard
/// error.
fn run_daemon(name: &str, options: &[&str], text: &str) -> (Option<i32>, String) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(folder.join(name), text).expect("settings file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_fescuetided"))
        .args(options)
        .arg(name)
        .current_dir(folder)
        .output()
        .expect("daemon runs");
    let errors = String::from_utf8(output.stderr).expect("errors are text");
    (output.status.code(), errors)
}

const BAD_ROUTER: &str = "\
role = \"router\"
colour = \"red\"

[log]
level = \"info\"
format = \"xml\"

[router]
vm = \"a b\"
heartbeat_ms = \"fast\"
log_interval_ms = 9000
log_url = \"ftp://log\"
weights = [1, 2]
shard_size = 0
control_listen = \"127.0.0.1:7100\"

[side]
load_multiple = 0.5
";

/// Guards against validation that stops at the first finding, and against findings without a line number.
#[test]
fn all_findings_are_reported_together() {
    let (code, errors) = run_daemon("bad-router.toml", &["--check-config"], BAD_ROUTER);
    assert_eq!(code, Some(2));
    insta::assert_snapshot!("bad_router", errors);
    let (code, start_errors) = run_daemon("bad-router.toml", &[], BAD_ROUTER);
    assert_eq!(code, Some(2), "a normal start reports the same");
    assert_eq!(start_errors, errors);
}

/// Guards against a daemon that starts in the wrong role or with default settings because `role` or the table of its
/// role is missing.
#[test]
fn table_of_the_role_must_be_there() {
    let (code, errors) = run_daemon("no-table.toml", &["--check-config"], "role = \"side\"\n");
    assert_eq!(code, Some(2));
    insta::assert_snapshot!("no_table", errors);
    let (code, errors) = run_daemon("no-role.toml", &["--check-config"], "[router]\n");
    assert_eq!(code, Some(2));
    insta::assert_snapshot!("no_role", errors);
}

/// Guards against a syntax error that hides findings about the rest of the file.
#[test]
fn syntax_errors_are_reported_with_other_findings() {
    let text = "role = \"side\"\n[side]\npool = \npool_size = 3\n";
    let (code, errors) = run_daemon("syntax.toml", &["--check-config"], text);
    assert_eq!(code, Some(2));
    insta::assert_snapshot!("syntax", errors);
}

struct PageRow {
    key: String,
    default: String,
    range: String,
}

/// Parses the rows of the table below `heading` on the configuration page.
fn page_rows(heading: &str) -> Vec<PageRow> {
    let page = include_str!("../../../../docs/configuration.md");
    let start = page.find(&format!("\n{heading}\n")).expect(heading) + heading.len() + 2;
    let section = page[start..].split("\n## ").next().unwrap_or_default();
    let mut rows = Vec::new();
    for line in section.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        rows.push(PageRow {
            key: cells[1].trim_matches('`').to_owned(),
            default: cells[3].trim_matches('`').to_owned(),
            range: cells[4].to_owned(),
        });
    }
    rows
}

/// Returns the keys of a settings struct, taken from the error that serde reports for an unknown key.
fn struct_keys<T: DeserializeOwned + std::fmt::Debug>() -> BTreeSet<String> {
    let error = toml::from_str::<T>("no_such_key = 1").expect_err("key is unknown");
    let list = error
        .message()
        .split("expected")
        .nth(1)
        .expect("list of keys");
    list.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Checks that the table below `heading` has exactly the keys of `T`, with its defaults.
fn check_page<T>(heading: &str)
where
    T: DeserializeOwned + Default + PartialEq + std::fmt::Debug,
{
    let rows = page_rows(heading);
    let page_keys: BTreeSet<String> = rows.iter().map(|row| row.key.clone()).collect();
    assert_eq!(page_keys, struct_keys::<T>(), "{heading}");
    let mut text = String::new();
    for row in rows.iter().filter(|row| row.default != "none") {
        text.push_str(&format!("{} = {}\n", row.key, row.default));
    }
    let settings: T = toml::from_str(&text).expect("defaults on the page are valid");
    assert_eq!(settings, T::default(), "{heading}: defaults");
}

/// Guards against a key that is missing from the configuration page, and against a wrong default on the page.
#[test]
fn page_lists_every_key_with_its_default() {
    check_page::<LogSettings>("## Table `log`");
    check_page::<RouterSettings>("## Table `router`");
    check_page::<SideSettings>("## Table `side`");
}

/// Guards against a range on the configuration page that the daemon does not enforce.
#[test]
fn page_gives_the_checked_ranges() {
    let mut checked = 0;
    for role in ["router", "side"] {
        for row in page_rows(&format!("## Table `{role}`")) {
            let Some((low, high)) = row.range.split_once(" to ") else {
                continue;
            };
            let (low, high): (i64, i64) = (low.parse().unwrap(), high.parse().unwrap());
            for (value, valid) in [
                (low, true),
                (high, true),
                (low - 1, false),
                (high + 1, false),
            ] {
                let point = if row.default.contains('.') { ".0" } else { "" };
                let line = format!("{} = {value}{point}", row.key);
                let text = format!("role = \"{role}\"\n[{role}]\n{line}\n");
                let (code, errors) =
                    run_daemon(&format!("{role}-range.toml"), &["--check-config"], &text);
                assert_eq!(code, Some(if valid { 0 } else { 2 }), "{line}: {errors}");
                checked += 1;
            }
        }
    }
    assert!(checked >= 72, "only {checked} values were checked");
}
