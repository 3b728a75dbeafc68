//! Settings in YAML: every field has a kind, a range and a default, and all
//! faults are listed at once, each with its line and its fix.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceSpan};
use serde_json::Value;

/// What a field may hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FieldKind {
    /// A name of 1 to 63 of a-z, 0-9, '-' and '.'.
    Name,
    /// An address with port, for example `127.0.0.1:8080`.
    Addr,
    /// An address that starts with `http://`.
    Url,
    /// A whole number in a range, both ends included.
    Number(u64, u64),
    /// A number with a fraction in a range, both ends included.
    Fraction(f64, f64),
    /// One of some words.
    Choice(&'static [&'static str]),
    /// A file that can be read, with at least one character in it.
    SecretFile,
    /// A SHA-256 in 64 lower-case hexadecimal digits.
    Sha256,
    /// A list of addresses with port; may be empty.
    Addrs,
    /// A list of pairs `NAME=NAME`; may be empty.
    Pairs,
}

/// One field of the settings.
#[derive(Debug, Clone, Copy)]
pub struct FieldSpec {
    /// Its name, with the unit as suffix.
    pub name: &'static str,
    /// What it may hold.
    pub kind: FieldKind,
    /// Its default; without one it must be given.
    pub default: Option<&'static str>,
    /// What it is for.
    pub about: &'static str,
}

/// One fault, with the fix.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}field `{field}` {problem}", at_line(*.line))]
pub struct FieldError {
    /// Line in the file, from 1; 0 when the field is missing.
    pub line: usize,
    /// The field.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What to write.
    pub fix: String,
    span: (usize, usize),
}

fn at_line(line: usize) -> String {
    if line == 0 { String::new() } else { format!("line {line}: ") }
}

impl Diagnostic for FieldError {
    fn help<'a>(&'a self) -> Option<Box<dyn std::fmt::Display + 'a>> {
        Some(Box::new(&self.fix))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let span = SourceSpan::from(self.span);
        (self.line > 0).then(|| Box::new(std::iter::once(LabeledSpan::underline(span))) as Box<_>)
    }
}

/// All faults of a file.
#[derive(Debug, thiserror::Error)]
#[error("the settings in {file} have faults: {}", .field_errors.len())]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// The faults, in the order of the file.
    pub field_errors: Vec<FieldError>,
    source_text: NamedSource<String>,
}

impl Diagnostic for SettingsError {
    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.source_text)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.field_errors.iter().map(|fault| fault as &dyn Diagnostic)))
    }
}

/// Checked settings: every field of the table has a fitting value.
#[derive(Debug, Clone)]
pub struct Settings {
    values: BTreeMap<&'static str, Value>,
}

impl Settings {
    /// Reads and checks a file against the table of fields.
    ///
    /// # Errors
    ///
    /// All faults at once.
    pub fn read(path: &Path, fields: &[FieldSpec]) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text, fields),
            Err(error) => {
                let fix = "name a file that can be read".to_owned();
                let fault = missing("(file)", error.to_string(), fix);
                Err(SettingsError { file: file.clone(), field_errors: vec![fault], source_text: named(&file, "") })
            }
        }
    }

    /// Checks `text` against the table of fields.
    ///
    /// # Errors
    ///
    /// All faults at once.
    pub fn parse(file: &str, text: &str, fields: &[FieldSpec]) -> Result<Self, SettingsError> {
        let failed =
            |field_errors| SettingsError { file: file.to_owned(), field_errors, source_text: named(file, text) };
        let given: BTreeMap<String, Value> = match serde_saphyr::from_str(text) {
            Ok(given) => given,
            Err(error) => return Err(failed(vec![syntax_fault(text, &error)])),
        };
        let mut field_errors = unknown_fields(text, &given, fields);
        let mut values = BTreeMap::new();
        for spec in fields {
            match value_of(spec, &given) {
                Ok(value) => drop(values.insert(spec.name, value)),
                Err((problem, fix)) if given.contains_key(spec.name) => {
                    field_errors.push(fault_at(text, spec.name, problem, fix));
                }
                Err((problem, fix)) => field_errors.push(missing(spec.name, problem, fix)),
            }
        }
        if field_errors.is_empty() {
            return Ok(Self { values });
        }
        field_errors.sort_by_key(|fault| fault.line);
        Err(failed(field_errors))
    }

    /// A field as text.
    ///
    /// # Panics
    ///
    /// When the table has no such field of that kind: a fault in the program.
    #[must_use]
    pub fn text(&self, name: &str) -> &str {
        self.values.get(name).and_then(Value::as_str).expect("the table of fields has this text field")
    }

    /// A field as a number.
    ///
    /// # Panics
    ///
    /// When the table has no such field of that kind: a fault in the program.
    #[must_use]
    pub fn number(&self, name: &str) -> u64 {
        self.values.get(name).and_then(Value::as_u64).expect("the table of fields has this number")
    }

    /// A field as a number with a fraction.
    ///
    /// # Panics
    ///
    /// When the table has no such field of that kind: a fault in the program.
    #[must_use]
    pub fn fraction(&self, name: &str) -> f64 {
        self.values.get(name).and_then(Value::as_f64).expect("the table of fields has this fraction")
    }

    /// A field as an address.
    ///
    /// # Panics
    ///
    /// When the table has no such field of that kind: a fault in the program.
    #[must_use]
    pub fn addr(&self, name: &str) -> SocketAddr {
        self.text(name).parse().expect("addresses are checked when the settings are read")
    }

    /// A field as a list of addresses.
    #[must_use]
    pub fn addrs(&self, name: &str) -> Vec<SocketAddr> {
        let list = self.values.get(name).and_then(Value::as_array);
        list.into_iter().flatten().filter_map(|v| v.as_str()?.parse().ok()).collect()
    }

    /// A field as a list of pairs.
    #[must_use]
    pub fn pairs(&self, name: &str) -> BTreeMap<String, String> {
        let list = self.values.get(name).and_then(Value::as_array);
        let pairs = list.into_iter().flatten().filter_map(|v| pair_of(v.as_str()?));
        pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
    }

    /// The secret in the file that a field names.
    ///
    /// # Errors
    ///
    /// When the file can no longer be read.
    pub fn secret(&self, name: &str) -> std::io::Result<String> {
        Ok(std::fs::read_to_string(self.text(name))?.trim().to_owned())
    }
}

/// The reference of all fields, as a table in Markdown.
#[must_use]
pub fn settings_reference(fields: &[FieldSpec]) -> String {
    let mut out = "| field | holds | default | for |\n|---|---|---|---|\n".to_owned();
    for spec in fields {
        let default = spec.default.map_or("must be given".to_owned(), |d| format!("`{d}`"));
        let _ = writeln!(out, "| `{}` | {} | {default} | {} |", spec.name, wanted(spec.kind), spec.about);
    }
    out
}

fn named(file: &str, text: &str) -> NamedSource<String> {
    NamedSource::new(file, text.to_owned())
}

fn syntax_fault(text: &str, error: &serde_saphyr::Error) -> FieldError {
    let line = error.location().map_or(1, |at| usize::try_from(at.line()).unwrap_or(1));
    let problem = error.to_string().lines().next().unwrap_or("cannot be read").to_owned();
    let fix = "write a YAML map of field: value lines, each field once".to_owned();
    FieldError { line, field: "(syntax)".into(), problem, fix, span: line_span(text, line) }
}

fn unknown_fields(text: &str, given: &BTreeMap<String, Value>, fields: &[FieldSpec]) -> Vec<FieldError> {
    let unknown = given.keys().filter(|name| !fields.iter().any(|spec| spec.name == name.as_str()));
    unknown
        .map(|name| {
            let near = fields.iter().max_by_key(|spec| likeness(spec.name, name)).map_or("", |spec| spec.name);
            fault_at(text, name, "is unknown".into(), format!("take it out, or did you mean `{near}`?"))
        })
        .collect()
}

/// Bytes that two names share at their start and at their end.
fn likeness(a: &str, b: &str) -> usize {
    let at_start = a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count();
    let at_end = a.bytes().rev().zip(b.bytes().rev()).take_while(|(x, y)| x == y).count();
    at_start + at_end
}

fn value_of(spec: &FieldSpec, given: &BTreeMap<String, Value>) -> Result<Value, (String, String)> {
    let fix = || format!("write {}", wanted(spec.kind));
    let Some(value) = given.get(spec.name) else {
        let default = spec.default.ok_or_else(|| ("is missing".to_owned(), fix()))?;
        return Ok(default_value(spec.kind, default));
    };
    check(spec.kind, value).map_err(|problem| (problem, fix()))?;
    Ok(value.clone())
}

fn default_value(kind: FieldKind, default: &str) -> Value {
    match kind {
        FieldKind::Number(..) => default.parse::<u64>().map_or(Value::Null, Value::from),
        FieldKind::Fraction(..) => default.parse::<f64>().map_or(Value::Null, Value::from),
        FieldKind::Addrs | FieldKind::Pairs => Value::Array(Vec::new()),
        _ => Value::from(default),
    }
}

fn check(kind: FieldKind, value: &Value) -> Result<(), String> {
    let text = value.as_str();
    let refuse = |problem: &str| Err(problem.to_owned());
    match kind {
        FieldKind::Number(min, max) => match value.as_u64() {
            Some(number) if (min..=max).contains(&number) => Ok(()),
            Some(number) => Err(format!("is out of range: {number}")),
            None => refuse("is not a whole number"),
        },
        FieldKind::Fraction(min, max) => match value.as_f64() {
            Some(number) if (min..=max).contains(&number) => Ok(()),
            Some(number) => Err(format!("is out of range: {number}")),
            None => refuse("is not a number"),
        },
        FieldKind::Addr if text.is_some_and(is_addr) => Ok(()),
        FieldKind::Addr => refuse("is not an address with port"),
        FieldKind::Addrs => match value.as_array() {
            Some(list) if list.iter().all(|v| v.as_str().is_some_and(is_addr)) => Ok(()),
            _ => refuse("is not a list of addresses with port"),
        },
        FieldKind::Pairs => match value.as_array() {
            Some(list) if list.iter().all(|v| v.as_str().is_some_and(|text| pair_of(text).is_some())) => Ok(()),
            _ => refuse("is not a list of pairs NAME=NAME"),
        },
        FieldKind::Url if text.is_some_and(|t| t.starts_with("http://") && t.len() > 7) => Ok(()),
        FieldKind::Url => refuse("is not an http:// address"),
        FieldKind::Choice(words) if text.is_some_and(|t| words.contains(&t)) => Ok(()),
        FieldKind::Choice(_) => refuse("is not one of the words"),
        FieldKind::Name if text.is_some_and(is_name) => Ok(()),
        FieldKind::Name => refuse("is not a name"),
        FieldKind::Sha256 if text.is_some_and(is_sha256) => Ok(()),
        FieldKind::Sha256 => refuse("is not a SHA-256"),
        FieldKind::SecretFile => check_secret(text),
    }
}

fn is_addr(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

fn pair_of(text: &str) -> Option<(&str, &str)> {
    text.split_once('=').filter(|(name, value)| is_name(name) && is_name(value))
}

fn is_name(text: &str) -> bool {
    let fits = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    (1..=63).contains(&text.len()) && text.bytes().all(fits)
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

fn check_secret(text: Option<&str>) -> Result<(), String> {
    let path = text.ok_or("is not a file name")?;
    match std::fs::read_to_string(path) {
        Ok(secret) if secret.trim().is_empty() => Err("names a file that is empty".into()),
        Ok(_) => Ok(()),
        Err(error) => Err(format!("names a file that cannot be read: {error}")),
    }
}

fn wanted(kind: FieldKind) -> String {
    match kind {
        FieldKind::Name => "a name: 1 to 63 of a-z, 0-9, '-' and '.'".into(),
        FieldKind::Addr => "an address with port, for example 127.0.0.1:8080".into(),
        FieldKind::Addrs => "a list of addresses with port".into(),
        FieldKind::Pairs => "a list of pairs NAME=NAME".into(),
        FieldKind::Url => "an address that starts with http://".into(),
        FieldKind::Number(min, max) => format!("a whole number from {min} to {max}"),
        FieldKind::Fraction(min, max) => format!("a number from {min} to {max}"),
        FieldKind::Choice(words) => format!("one of: {}", words.join(", ")),
        FieldKind::SecretFile => "the name of a file that holds the secret".into(),
        FieldKind::Sha256 => "a SHA-256: 64 lower-case hexadecimal digits".into(),
    }
}

fn missing(field: &str, problem: String, fix: String) -> FieldError {
    FieldError { line: 0, field: field.into(), problem, fix, span: (0, 0) }
}

fn fault_at(text: &str, field: &str, problem: String, fix: String) -> FieldError {
    let names_it = |line: &str| line.strip_prefix(field).is_some_and(|rest| rest.trim_start().starts_with(':'));
    let line = text.lines().position(names_it).map_or(0, |at| at + 1);
    FieldError { line, field: field.into(), problem, fix, span: line_span(text, line) }
}

fn line_span(text: &str, line: usize) -> (usize, usize) {
    let start: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    let length = text.lines().nth(line.saturating_sub(1)).map_or(0, str::len);
    (start, length)
}
