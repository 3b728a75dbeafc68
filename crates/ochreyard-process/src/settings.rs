//! Settings in YAML. Every field has a kind, a range and a default. All errors of a file are reported at once, each
//! with its line and its fix.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceSpan};
use serde_json::Value;

/// The kind of value that a field holds.
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
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// The path of a readable file that is not empty.
    SecretFile,
    /// A SHA-256 hash in 64 lower-case hexadecimal digits.
    Sha256,
    /// A list of addresses with port; may be empty.
    Addrs,
    /// A list of pairs `NAME=NAME`; may be empty.
    Pairs,
}

/// One field of the settings.
#[derive(Debug, Clone, Copy)]
pub struct FieldSpec {
    /// The name of the field, with the unit as suffix.
    pub name: &'static str,
    /// The kind of value that the field holds.
    pub kind: FieldKind,
    /// The default value; a field without one is required.
    pub default: Option<&'static str>,
    /// What the field is for, as the reference prints it.
    pub about: &'static str,
}

/// An error in one field, with its fix.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}field `{field}` {problem}", line_prefix(*.line))]
pub struct FieldError {
    /// The line in the file, from 1; 0 if the field is missing.
    pub line: usize,
    /// The name of the field.
    pub field: String,
    /// What is wrong with the field.
    pub problem: String,
    /// How to fix the field.
    pub fix: String,
    span: (usize, usize),
}

fn line_prefix(line: usize) -> String {
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

/// All errors of a settings file.
#[derive(Debug, thiserror::Error)]
#[error("the settings in {file} have faults: {}", .field_errors.len())]
pub struct SettingsError {
    /// The path of the file.
    pub file: String,
    /// The errors, in the order of the file.
    pub field_errors: Vec<FieldError>,
    source_text: NamedSource<String>,
}

impl Diagnostic for SettingsError {
    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.source_text)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.field_errors.iter().map(|error| error as &dyn Diagnostic)))
    }
}

/// Checked settings: every field of the table has a valid value.
#[derive(Debug, Clone)]
pub struct Settings {
    values: BTreeMap<&'static str, Value>,
}

impl Settings {
    /// Reads a file and checks it against the table of fields.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with all errors of the file.
    pub fn read(path: &Path, fields: &[FieldSpec]) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text, fields),
            Err(error) => {
                let fix = "name a file that can be read".to_owned();
                let field_error = error_without_line("(file)", error.to_string(), fix);
                Err(SettingsError {
                    file: file.clone(),
                    field_errors: vec![field_error],
                    source_text: named_source(&file, ""),
                })
            }
        }
    }

    /// Checks `text` against the table of fields.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with all errors of the text.
    pub fn parse(file: &str, text: &str, fields: &[FieldSpec]) -> Result<Self, SettingsError> {
        let failed =
            |field_errors| SettingsError { file: file.to_owned(), field_errors, source_text: named_source(file, text) };
        let given: BTreeMap<String, Value> = match serde_saphyr::from_str(text) {
            Ok(given) => given,
            Err(error) => return Err(failed(vec![syntax_error(text, &error)])),
        };
        let mut field_errors = unknown_fields(text, &given, fields);
        let mut values = BTreeMap::new();
        for spec in fields {
            match field_value(spec, &given) {
                Ok(value) => drop(values.insert(spec.name, value)),
                Err((problem, fix)) if given.contains_key(spec.name) => {
                    field_errors.push(error_at_field(text, spec.name, problem, fix));
                }
                Err((problem, fix)) => field_errors.push(error_without_line(spec.name, problem, fix)),
            }
        }
        if field_errors.is_empty() {
            return Ok(Self { values });
        }
        field_errors.sort_by_key(|error| error.line);
        Err(failed(field_errors))
    }

    /// Returns the value of a text field.
    ///
    /// # Panics
    ///
    /// Panics if the table has no such field of that kind, which is a bug in the program.
    #[must_use]
    pub fn text(&self, name: &str) -> &str {
        self.values.get(name).and_then(Value::as_str).expect("the table of fields has this text field")
    }

    /// Returns the value of a number field.
    ///
    /// # Panics
    ///
    /// Panics if the table has no such field of that kind, which is a bug in the program.
    #[must_use]
    pub fn number(&self, name: &str) -> u64 {
        self.values.get(name).and_then(Value::as_u64).expect("the table of fields has this number")
    }

    /// Returns the value of a field that holds a number with a fraction.
    ///
    /// # Panics
    ///
    /// Panics if the table has no such field of that kind, which is a bug in the program.
    #[must_use]
    pub fn fraction(&self, name: &str) -> f64 {
        self.values.get(name).and_then(Value::as_f64).expect("the table of fields has this fraction")
    }

    /// Returns the value of an address field.
    ///
    /// # Panics
    ///
    /// Panics if the table has no such field of that kind, which is a bug in the program.
    #[must_use]
    pub fn addr(&self, name: &str) -> SocketAddr {
        self.text(name).parse().expect("addresses are checked when the settings are read")
    }

    /// Returns the value of a field that holds a list of addresses.
    #[must_use]
    pub fn addrs(&self, name: &str) -> Vec<SocketAddr> {
        let list = self.values.get(name).and_then(Value::as_array);
        list.into_iter().flatten().filter_map(|v| v.as_str()?.parse().ok()).collect()
    }

    /// Returns the value of a field that holds a list of pairs.
    #[must_use]
    pub fn pairs(&self, name: &str) -> BTreeMap<String, String> {
        let list = self.values.get(name).and_then(Value::as_array);
        let pairs = list.into_iter().flatten().filter_map(|v| parse_pair(v.as_str()?));
        pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
    }

    /// Reads the secret from the file that a field names.
    ///
    /// # Errors
    ///
    /// Fails if the file can no longer be read.
    pub fn secret(&self, name: &str) -> std::io::Result<String> {
        Ok(std::fs::read_to_string(self.text(name))?.trim().to_owned())
    }
}

/// Returns the reference of all fields, as a table in Markdown.
#[must_use]
pub fn settings_reference(fields: &[FieldSpec]) -> String {
    let mut out = "| field | holds | default | for |\n|---|---|---|---|\n".to_owned();
    for spec in fields {
        let default = spec.default.map_or("must be given".to_owned(), |d| format!("`{d}`"));
        let _ = writeln!(out, "| `{}` | {} | {default} | {} |", spec.name, expected_value(spec.kind), spec.about);
    }
    out
}

fn named_source(file: &str, text: &str) -> NamedSource<String> {
    NamedSource::new(file, text.to_owned())
}

fn syntax_error(text: &str, error: &serde_saphyr::Error) -> FieldError {
    let line = error.location().map_or(1, |at| usize::try_from(at.line()).unwrap_or(1));
    let problem = error.to_string().lines().next().unwrap_or("cannot be read").to_owned();
    let fix = "write a YAML map of field: value lines, each field once".to_owned();
    FieldError { line, field: "(syntax)".into(), problem, fix, span: line_span(text, line) }
}

fn unknown_fields(text: &str, given: &BTreeMap<String, Value>, fields: &[FieldSpec]) -> Vec<FieldError> {
    let unknown = given.keys().filter(|name| !fields.iter().any(|spec| spec.name == name.as_str()));
    unknown
        .map(|name| {
            let nearest = fields.iter().max_by_key(|spec| similarity(spec.name, name)).map_or("", |spec| spec.name);
            error_at_field(text, name, "is unknown".into(), format!("take it out, or did you mean `{nearest}`?"))
        })
        .collect()
}

/// Returns how many bytes two names have in common at their start and at their end.
fn similarity(a: &str, b: &str) -> usize {
    let prefix_len = a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count();
    let suffix_len = a.bytes().rev().zip(b.bytes().rev()).take_while(|(x, y)| x == y).count();
    prefix_len + suffix_len
}

fn field_value(spec: &FieldSpec, given: &BTreeMap<String, Value>) -> Result<Value, (String, String)> {
    let fix = || format!("write {}", expected_value(spec.kind));
    let Some(value) = given.get(spec.name) else {
        let default = spec.default.ok_or_else(|| ("is missing".to_owned(), fix()))?;
        return Ok(default_value(spec.kind, default));
    };
    check_value(spec.kind, value).map_err(|problem| (problem, fix()))?;
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

fn check_value(kind: FieldKind, value: &Value) -> Result<(), String> {
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
            Some(list) if list.iter().all(|v| v.as_str().is_some_and(|text| parse_pair(text).is_some())) => Ok(()),
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

fn parse_pair(text: &str) -> Option<(&str, &str)> {
    text.split_once('=').filter(|(name, value)| is_name(name) && is_name(value))
}

fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    (1..=63).contains(&text.len()) && text.bytes().all(is_allowed)
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

fn expected_value(kind: FieldKind) -> String {
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

fn error_without_line(field: &str, problem: String, fix: String) -> FieldError {
    FieldError { line: 0, field: field.into(), problem, fix, span: (0, 0) }
}

fn error_at_field(text: &str, field: &str, problem: String, fix: String) -> FieldError {
    let is_field_line = |line: &str| line.strip_prefix(field).is_some_and(|rest| rest.trim_start().starts_with(':'));
    let line = text.lines().position(is_field_line).map_or(0, |at| at + 1);
    FieldError { line, field: field.into(), problem, fix, span: line_span(text, line) }
}

fn line_span(text: &str, line: usize) -> (usize, usize) {
    let start: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    let length = text.lines().nth(line.saturating_sub(1)).map_or(0, str::len);
    (start, length)
}
