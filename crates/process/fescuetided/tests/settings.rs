//! Validation of settings files, and agreement of `docs/configuration.md` with the settings structs.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;

use fescuetide_gateway::GatewaySettings;
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

/// All errors in a settings file are reported together, each with its line number.
#[test]
fn all_findings_are_reported_together() {
    let (code, errors) = run_daemon("bad-router.toml", &["--check-config"], BAD_ROUTER);
    assert_eq!(code, Some(2));
    insta::assert_snapshot!("bad_router", errors);
    let (code, start_errors) = run_daemon("bad-router.toml", &[], BAD_ROUTER);
    assert_eq!(code, Some(2), "a normal start reports the same");
    assert_eq!(start_errors, errors);
}

/// The daemon does not start without `role` or without the table of its role. Otherwise it could run in the wrong role
/// or with default settings.
#[test]
fn role_and_its_table_are_required() {
    let (code, errors) = run_daemon("no-table.toml", &["--check-config"], "role = \"side\"\n");
    assert_eq!(code, Some(2));
    insta::assert_snapshot!("no_table", errors);
    let (code, errors) = run_daemon("no-role.toml", &["--check-config"], "[router]\n");
    assert_eq!(code, Some(2));
    insta::assert_snapshot!("no_role", errors);
}

/// A syntax error does not hide errors in the rest of the file.
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

/// The configuration page lists every key with its actual default.
#[test]
fn page_lists_every_key_with_its_default() {
    check_page::<LogSettings>("## Table `log`");
    check_page::<RouterSettings>("## Table `router`");
    check_page::<SideSettings>("## Table `side`");
    check_page::<GatewaySettings>("## Table `gateway`");
}

/// The daemon accepts the bounds of each range on the configuration page, and rejects the values next to them.
#[test]
fn page_gives_the_checked_ranges() {
    let mut checked = 0;
    for role in ["router", "side", "gateway"] {
        // What a gateway needs beside the key.
        let needed = match role {
            "gateway" => GATEWAY_NEEDS,
            _ => "",
        };
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
                let text = format!("role = \"{role}\"\n[{role}]\n{needed}{line}\n");
                let (code, errors) =
                    run_daemon(&format!("{role}-range.toml"), &["--check-config"], &text);
                assert_eq!(code, Some(if valid { 0 } else { 2 }), "{line}: {errors}");
                checked += 1;
            }
        }
    }
    // At least 27 keys with a range on the page, 4 values each. Guards against rows that are no longer recognized.
    assert!(checked >= 108, "only {checked} values were checked");
}

/// The settings that a gateway must have.
const GATEWAY_NEEDS: &str = "vm = \"a\"\nzone = \"a\"\ncallers = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n\
                             log_service = \"127.0.0.1:3\"\n";

/// The figures that the platform puts into the template of the settings of a gateway.
const BOUNDS: [(&str, &str); 6] = [
    ("bounds.grace_s", "8"),
    ("bounds.budget_ratio", "0.2"),
    ("bounds.budget_burst", "54"),
    ("bounds.budget_window_s", "10"),
    ("bounds.drain_ms", "2000"),
    ("bounds.config_apply_ms", "2000"),
];

/// Fills in the template of the deploy file, with one figure replaced.
fn render_template(bound: &str, figure: &str) -> String {
    let mut text = include_str!("../../../../deploy/gateway.toml").to_owned();
    let (open, close) = ("{{#seeds}}", "{{/seeds}}");
    let (start, end) = (text.find(open).unwrap(), text.find(close).unwrap());
    text.replace_range(start..end + close.len(), "\"127.0.0.1:7003\"");
    for (name, usual) in BOUNDS {
        let value = if name == bound { figure } else { usual };
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    let fields = [
        ("node", "front-1"),
        ("zone", "zone-a"),
        ("listen.front", "127.0.0.1:7001"),
        ("listen.ready", "127.0.0.1:7002"),
        ("listen.control", "127.0.0.1:7003"),
        ("ip", "127.0.0.1"),
        ("internal_ports.0", "7340"),
        ("platform.addr", "127.0.0.1:7004"),
    ];
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a placeholder is left: {text}");
    text
}

/// Gateways start with any figure that a bound of the platform can have. Otherwise a change of the bounds would end all of
/// them.
#[test]
fn bounds_may_be_fractions_or_whole() {
    let mut cases = Vec::new();
    for (bound, usual) in BOUNDS {
        cases.push((bound, usual));
    }
    cases.extend([
        ("bounds.grace_s", "7.5"),
        ("bounds.grace_s", "8.0"),
        ("bounds.grace_s", "0.75"),
        ("bounds.grace_s", "0.125"),
        ("bounds.grace_s", "12"),
        ("bounds.budget_ratio", "1"),
        ("bounds.budget_ratio", "0.125"),
        ("bounds.budget_burst", "54.5"),
        ("bounds.budget_burst", "0"),
        ("bounds.budget_window_s", "9.25"),
        ("bounds.drain_ms", "1999.5"),
        ("bounds.config_apply_ms", "2000.0"),
    ]);
    for (bound, figure) in cases {
        let text = render_template(bound, figure);
        let (code, errors) = run_daemon("bounds.toml", &["--check-config"], &text);
        assert_eq!(code, Some(0), "{bound}={figure}: {errors}");
    }
}

/// A figure that makes no sense is reported with its place, whatever its type.
#[test]
fn senseless_bounds_are_reported_with_their_place() {
    let keys = [
        ("bounds.grace_s", "grace_ms"),
        ("bounds.budget_ratio", "retry_ratio"),
        ("bounds.budget_burst", "retry_burst"),
        ("bounds.budget_window_s", "retry_window_ms"),
        ("bounds.drain_ms", "leave_limit_ms"),
        ("bounds.config_apply_ms", "config_limit_ms"),
    ];
    for (bound, key) in keys {
        for figure in ["-1", "-0.5", "1e9", "nan", "inf", "true", "soon", ""] {
            let text = render_template(bound, figure);
            let line = text.lines().position(|line| line.starts_with(key));
            let line = line.expect(key) + 1;
            let (code, errors) = run_daemon("senseless.toml", &["--check-config"], &text);
            assert_eq!(code, Some(2), "{bound}={figure}: {errors}");
            let place = format!("line {line}");
            assert!(errors.contains(&place), "{bound}={figure}: {errors}");
        }
    }
}
