//! A TOML document that collects validation errors.

use std::ops::Range;
use std::path::Path;

use fescuetide_base::FindingList;
use fescuetide_base::InputFinding;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::Table;
use toml::Value;
use toml::de::DeTable;
use toml::de::DeValue;
use toml::de::ValueDeserializer;

/// The dotted path of a key and the line on which it is defined.
#[derive(Clone, Debug)]
struct DocumentKey {
    path: String,
    line: usize,
}

/// A parsed TOML document and the findings about it.
#[derive(Debug)]
pub struct SettingsDocument {
    name: String,
    root: Table,
    keys: Vec<DocumentKey>,
    findings: FindingList,
}

impl SettingsDocument {
    /// Parses `text`. `name` identifies the document in findings. Syntax errors are recorded as findings, and the parts
    /// that could be parsed are still validated.
    pub fn parse(name: &str, text: &str) -> Self {
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut document = Self {
            name: name.to_owned(),
            root: Table::new(),
            keys: Vec::new(),
            findings: FindingList::default(),
        };
        for error in errors {
            let line = line_at_span(text, error.span().unwrap_or_default());
            let place = format!("{name}, line {line}");
            document.findings.add(place, error.message());
        }
        collect_keys(&mut document.keys, text, "", root.get_ref());
        for (key, value) in root.into_inner() {
            document.insert(key.into_inner().into_owned(), value);
        }
        document
    }

    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Returns a finding if the file cannot be read. Syntax errors are reported by [`finish`](Self::finish).
    pub fn load(path: &Path) -> Result<Self, FindingList> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(Self::parse(&name, &text)),
            Err(error) => {
                let mut list = FindingList::default();
                list.add(name, error.to_string());
                Err(list)
            }
        }
    }

    fn insert(&mut self, key: String, value: Spanned<DeValue<'_>>) {
        if let Ok(value) = Value::deserialize(ValueDeserializer::from(value)) {
            self.root.insert(key, value);
        }
    }

    /// Adds a finding about the key at `path`.
    pub fn add(&mut self, path: &str, message: impl Into<String>) {
        let key = self.keys.iter().find(|key| key.path == path);
        let place = match key {
            Some(key) => format!("{}, line {}, key \"{path}\"", self.name, key.line),
            None => format!("{}, key \"{path}\"", self.name),
        };
        self.findings.add(place, message);
    }

    /// Adds findings whose locations are keys relative to the table at `path`.
    pub fn extend(&mut self, path: &str, findings: &FindingList) {
        for InputFinding { place, message } in findings.iter() {
            self.add(&join_path(path, place), message.clone());
        }
    }

    /// Returns the keys of the table at `path`, or an empty list if there is no such table.
    pub fn table_keys(&self, path: &str) -> Vec<String> {
        match self.find_table(path) {
            Some(table) => table.keys().cloned().collect(),
            None => Vec::new(),
        }
    }

    /// Returns `true` if the document contains the key at `path`.
    pub fn contains(&self, path: &str) -> bool {
        self.keys.iter().any(|key| key.path == path)
    }

    /// Deserializes the value of a top-level key. Adds a finding if the key is missing or its value has the wrong type.
    pub fn read_key<T: DeserializeOwned>(&mut self, path: &str) -> Option<T> {
        let Some(value) = self.root.get(path).cloned() else {
            self.add(path, "is missing");
            return None;
        };
        match value.try_into() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(path, first_line(error.message()));
                None
            }
        }
    }

    /// Deserializes the table at `path`. All fields of `T` must have defaults, and `T` must deny unknown fields.
    ///
    /// Adds a finding for each unknown key and for each value of the wrong type; such fields keep their defaults. Each
    /// key is deserialized on its own first, because serde stops at the first error.
    pub fn read_table<T: DeserializeOwned + Default>(&mut self, path: &str) -> T {
        let mut valid = Table::new();
        let Some(table) = self.find_table(path).cloned() else {
            if self.contains(path) {
                self.add(path, "is not a table");
            }
            return T::default();
        };
        for (key, value) in table {
            let single = Table::from_iter([(key.clone(), value.clone())]);
            match T::deserialize(single) {
                Ok(_) => {
                    valid.insert(key, value);
                }
                Err(error) => {
                    let message = match error.message() {
                        text if text.starts_with("unknown field") => "unknown key",
                        text => first_line(text),
                    };
                    self.add(&join_path(path, &key), message);
                }
            }
        }
        T::deserialize(valid).unwrap_or_default()
    }

    /// Adds a finding with `message` for each top-level key that is not in `allowed`.
    pub fn deny_unknown_keys(&mut self, allowed: &[&str], message: &str) {
        for key in self.table_keys("") {
            if !allowed.contains(&key.as_str()) {
                self.add(&key, message);
            }
        }
    }

    /// Finishes validation.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by line, if there are any.
    pub fn finish(self) -> Result<(), FindingList> {
        let mut findings: Vec<InputFinding> = self.findings.iter().cloned().collect();
        findings.sort_by_key(|finding| line_in_location(&finding.place));
        let mut list = FindingList::default();
        for finding in findings {
            list.add(finding.place, finding.message);
        }
        list.into_result(())
    }

    fn find_table(&self, path: &str) -> Option<&Table> {
        if path.is_empty() {
            return Some(&self.root);
        }
        find_nested_table(&self.root, path)
    }
}

/// Returns the nested table at the dotted `path`. Quoted keys may contain dots, for example if request classes are used
/// as keys, so the path cannot simply be split at dots.
fn find_nested_table<'a>(table: &'a Table, path: &str) -> Option<&'a Table> {
    for (key, value) in table {
        let Some(inner) = value.as_table() else {
            continue;
        };
        if key == path {
            return Some(inner);
        }
        let rest = path
            .strip_prefix(key)
            .and_then(|rest| rest.strip_prefix('.'));
        if let Some(found) = rest.and_then(|rest| find_nested_table(inner, rest)) {
            return Some(found);
        }
    }
    None
}

fn collect_keys(keys: &mut Vec<DocumentKey>, text: &str, prefix: &str, table: &DeTable<'_>) {
    for (key, value) in table {
        let path = join_path(prefix, key.get_ref());
        keys.push(DocumentKey {
            path: path.clone(),
            line: line_at_span(text, key.span()),
        });
        if let DeValue::Table(table) = value.get_ref() {
            collect_keys(keys, text, &path, table);
        }
    }
}

fn join_path(prefix: &str, key: &str) -> String {
    if prefix.is_empty() {
        key.to_owned()
    } else {
        format!("{prefix}.{key}")
    }
}

fn line_at_span(text: &str, span: Range<usize>) -> usize {
    let end = span.start.min(text.len());
    text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or_default()
}

/// Returns the line number in a location written by [`SettingsDocument::add`], or `usize::MAX` if it has none, so that
/// findings without a line are sorted last.
fn line_in_location(location: &str) -> usize {
    let Some((_, rest)) = location.split_once(", line ") else {
        return usize::MAX;
    };
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(usize::MAX)
}
