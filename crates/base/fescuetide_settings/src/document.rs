//! A TOML document with the findings about it.

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

/// One key of the document, its path written with dots.
#[derive(Clone, Debug)]
struct DocumentKey {
    path: String,
    line: usize,
}

/// A TOML document under check.
#[derive(Debug)]
pub struct SettingsDocument {
    name: String,
    root: Table,
    keys: Vec<DocumentKey>,
    list: FindingList,
}

impl SettingsDocument {
    /// Parses `text`. `name` is the document's name in findings. Syntax errors become findings, and what could be
    /// parsed is still checked.
    pub fn parse(name: &str, text: &str) -> Self {
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut document = Self {
            name: name.to_owned(),
            root: Table::new(),
            keys: Vec::new(),
            list: FindingList::default(),
        };
        for error in errors {
            let line = line_of(text, error.span().unwrap_or_default());
            let place = format!("{name}, line {line}");
            document.list.add(place, error.message());
        }
        note_keys(&mut document.keys, text, "", root.get_ref());
        for (key, value) in root.into_inner() {
            document.insert(key.into_inner().into_owned(), value);
        }
        document
    }

    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Returns a finding when the file cannot be read.
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

    /// Adds a finding about the key with this path.
    pub fn add(&mut self, path: &str, message: impl Into<String>) {
        let line = self.keys.iter().find(|key| key.path == path);
        let place = match line {
            Some(key) => format!("{}, line {}, key \"{path}\"", self.name, key.line),
            None => format!("{}, key \"{path}\"", self.name),
        };
        self.list.add(place, message);
    }

    /// Adds findings whose places are keys of the table at `path`.
    pub fn extend(&mut self, path: &str, findings: &FindingList) {
        for InputFinding { place, message } in findings.iter() {
            self.add(&join_path(path, place), message.clone());
        }
    }

    /// The keys of the table at `path`, empty when there is no such table.
    pub fn list_keys(&self, path: &str) -> Vec<String> {
        match self.find_table(path) {
            Some(table) => table.keys().cloned().collect(),
            None => Vec::new(),
        }
    }

    /// Whether the document has the key.
    pub fn contains(&self, path: &str) -> bool {
        self.keys.iter().any(|key| key.path == path)
    }

    /// Reads the key at `path`. A missing key or a value of the wrong type is a finding.
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

    /// Reads the table at `path` into a struct whose fields all have defaults and that denies unknown fields. Each
    /// unknown key and each value of the wrong type is a finding, and that key keeps its default.
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

    /// Adds a finding for each key at the top that is not one of `allowed`.
    pub fn deny_other_keys(&mut self, allowed: &[&str], message: &str) {
        for key in self.list_keys("") {
            if !allowed.contains(&key.as_str()) {
                self.add(&key, message);
            }
        }
    }

    /// Ends the check.
    ///
    /// # Errors
    ///
    /// Returns all findings in the order of their lines.
    pub fn finish(self) -> Result<(), FindingList> {
        let mut findings: Vec<InputFinding> = self.list.iter().cloned().collect();
        findings.sort_by_key(|finding| place_line(&finding.place));
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
        descend(&self.root, path)
    }
}

/// Finds the table at `path`. A key may itself contain dots, as class names do.
fn descend<'a>(table: &'a Table, path: &str) -> Option<&'a Table> {
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
        if let Some(found) = rest.and_then(|rest| descend(inner, rest)) {
            return Some(found);
        }
    }
    None
}

fn note_keys(keys: &mut Vec<DocumentKey>, text: &str, prefix: &str, table: &DeTable<'_>) {
    for (key, value) in table {
        let path = join_path(prefix, key.get_ref());
        keys.push(DocumentKey {
            path: path.clone(),
            line: line_of(text, key.span()),
        });
        if let DeValue::Table(table) = value.get_ref() {
            note_keys(keys, text, &path, table);
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

fn line_of(text: &str, span: Range<usize>) -> usize {
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

/// The line in a place that [`SettingsDocument::add`] wrote; places without one come last.
fn place_line(place: &str) -> usize {
    let Some((_, rest)) = place.split_once(", line ") else {
        return usize::MAX;
    };
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(usize::MAX)
}
