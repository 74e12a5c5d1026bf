//! Parsing and validation of class files and of `key=value` revisions.

use std::path::Path;

use fescuetide_base::ClassName;
use fescuetide_base::FindingList;
use fescuetide_base::InputFinding;
use fescuetide_base::SpanMillis;
use fescuetide_base::TargetShare;
use fescuetide_classes::ClassTargets;
use fescuetide_settings::SettingsDocument;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

/// Appended to findings about unknown keys, because operators who know other systems expect keys for weights, addresses
/// and placement.
const ONLY_TARGETS: &str = "a class has only lateness_ms, late_share, loss_share, duplication_share and repeatable; weights, addresses and placement are not set by operators";

/// Targets of a class in the format of class files.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct ClassEntryFile {
    lateness_ms: u64,
    late_share: TargetShare,
    loss_share: TargetShare,
    duplication_share: TargetShare,
    repeatable: bool,
}

impl Default for ClassEntryFile {
    fn default() -> Self {
        ClassTargets::default().into()
    }
}

impl From<ClassTargets> for ClassEntryFile {
    fn from(targets: ClassTargets) -> Self {
        Self {
            lateness_ms: targets.lateness.within.as_millis(),
            late_share: targets.lateness.late_share,
            loss_share: targets.loss_share,
            duplication_share: targets.duplication_share,
            repeatable: targets.repeatable,
        }
    }
}

impl From<ClassEntryFile> for ClassTargets {
    fn from(file: ClassEntryFile) -> Self {
        let mut targets = Self {
            loss_share: file.loss_share,
            duplication_share: file.duplication_share,
            repeatable: file.repeatable,
            ..Self::default()
        };
        targets.lateness.within = SpanMillis::new(file.lateness_ms);
        targets.lateness.late_share = file.late_share;
        targets
    }
}

/// Converts targets to JSON with the keys of class files.
pub(crate) fn targets_json(targets: &ClassTargets) -> Value {
    let file = ClassEntryFile::from(*targets);
    json!({
        "lateness_ms": file.lateness_ms,
        "late_share": file.late_share,
        "loss_share": file.loss_share,
        "duplication_share": file.duplication_share,
        "repeatable": file.repeatable,
    })
}

/// Reads and validates a class file.
///
/// # Errors
///
/// Returns all findings together, each with its line and key.
pub(crate) fn read_classes(path: &Path) -> Result<Vec<(ClassName, ClassTargets)>, FindingList> {
    let mut document = SettingsDocument::load(path)?;
    document.deny_unknown_keys(&["class"], "unknown key; classes are tables [class.NAME]");
    let names = document.table_keys("class");
    if names.is_empty() {
        document.add(
            "class",
            "no class is given; classes are tables [class.NAME]",
        );
    }
    let mut classes = Vec::new();
    for name in names {
        let path = format!("class.{name}");
        let entry: ClassEntryFile = document.read_table(&path);
        let targets = ClassTargets::from(entry);
        match name.parse() {
            Ok(name) => classes.push((name, targets)),
            Err(error) => document.add(&path, format!("{error}")),
        }
        if let Err(findings) = targets.check("") {
            document.extend(&path, &use_file_keys(&findings));
        }
    }
    document
        .finish()
        .map_err(|findings| explain_unknown_keys(&findings))?;
    Ok(classes)
}

/// Returns `targets` with the `key=value` pairs applied.
///
/// # Errors
///
/// Returns all findings together.
pub(crate) fn revise_targets(
    targets: &ClassTargets,
    pairs: &[String],
) -> Result<ClassTargets, FindingList> {
    let mut document = String::new();
    let mut list = FindingList::default();
    let Value::Object(mut fields) = targets_json(targets) else {
        return Ok(*targets);
    };
    for pair in pairs {
        let Some((key, value)) = pair.split_once('=') else {
            list.add(pair, "is not key=value");
            continue;
        };
        let Some(field) = fields.get_mut(key) else {
            list.add(key, format!("unknown key; {ONLY_TARGETS}"));
            continue;
        };
        *field = serde_json::from_str(value).unwrap_or_else(|_| json!(value));
    }
    for (key, value) in &fields {
        document.push_str(&format!("{key} = {value}\n"));
    }
    let mut document = SettingsDocument::parse("revision", &document);
    let revised = ClassTargets::from(document.read_table::<ClassEntryFile>(""));
    if let Err(findings) = revised.check("") {
        document.extend("", &use_file_keys(&findings));
    }
    if let Err(findings) = document.finish() {
        for finding in findings.iter() {
            let (_, key) = finding.place.split_once("key ").unwrap_or_default();
            list.add(key.trim_matches('"'), finding.message.clone());
        }
    }
    list.into_result(revised)
}

/// Replaces the field paths in findings about [`ClassTargets`] with the keys of class files.
fn use_file_keys(findings: &FindingList) -> FindingList {
    let mut list = FindingList::default();
    for finding in findings.iter() {
        let key = match finding.place.trim_start_matches('.') {
            "lateness.within" => "lateness_ms",
            other => other,
        };
        list.add(key, finding.message.clone());
    }
    list
}

/// Appends [`ONLY_TARGETS`] to findings about unknown keys.
fn explain_unknown_keys(findings: &FindingList) -> FindingList {
    let mut list = FindingList::default();
    for InputFinding { place, message } in findings.iter() {
        match message.as_str() {
            "unknown key" => list.add(place, format!("unknown key; {ONLY_TARGETS}")),
            _ => list.add(place, message),
        }
    }
    list
}
