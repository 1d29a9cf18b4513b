//! Reads JSON with comments field by field and collects all problems.

use std::{cell::RefCell, fmt, ops::RangeInclusive, str::FromStr, time::Duration};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

/// Minimum similarity of a known name to be suggested, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.6;

/// A problem of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Problem {
    pub(crate) line: usize,
    pub(crate) column: usize,
    /// The path of the field; empty for the whole file.
    pub(crate) field: String,
    /// The value found and the values allowed.
    pub(crate) message: String,
}

/// All problems of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Problems {
    pub(crate) file: String,
    pub(crate) list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, problem) in self.list.iter().enumerate() {
            if number != 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{}:{}: ", self.file, problem.line, problem.column)?;
            if !problem.field.is_empty() {
                write!(f, "field `{}`: ", problem.field)?;
            }
            f.write_str(&problem.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// Parses a file's text with `read`, which receives the outermost object.
pub(super) fn read<T>(
    file: &str,
    text: &str,
    read: impl FnOnce(&Section<'_>) -> Option<T>,
) -> Result<T, Problems> {
    let problems = RefCell::new(Vec::new());
    let value = read_text(text, &problems, read);
    let mut list = problems.into_inner();
    list.sort_by_key(|problem| (problem.line, problem.column));
    match value {
        Some(value) if list.is_empty() => Ok(value),
        _ => Err(Problems { file: file.to_owned(), list }),
    }
}

fn read_text<T>(
    text: &str,
    problems: &RefCell<Vec<Problem>>,
    read: impl FnOnce(&Section<'_>) -> Option<T>,
) -> Option<T> {
    let report = |line, column, message: String| {
        problems.borrow_mut().push(Problem { line, column, field: String::new(), message });
    };
    // Only comments and trailing commas are allowed beyond JSON: other leniency hides mistakes.
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => parsed,
        Err(error) => {
            let message = format!("not JSON with comments: {}", error.kind());
            report(error.line_display(), error.column_display(), message);
            return None;
        }
    };
    let Some(Value::Object(object)) = &parsed.value else {
        report(1, 1, "the file must contain one object, in braces".to_owned());
        return None;
    };
    let section = Section::new(text, object, String::new(), problems);
    let value = read(&section);
    section.reject_unknown();
    value
}

/// An object in the file.
pub(super) struct Section<'a> {
    text: &'a str,
    object: &'a Object<'a>,
    path: String,
    problems: &'a RefCell<Vec<Problem>>,
    known: RefCell<Vec<&'static str>>,
}

impl<'a> Section<'a> {
    fn new(
        text: &'a str,
        object: &'a Object<'a>,
        path: String,
        problems: &'a RefCell<Vec<Problem>>,
    ) -> Section<'a> {
        let section = Section { text, object, path, problems, known: RefCell::default() };
        section.reject_duplicates();
        section
    }

    /// A required field, parsed from its text.
    pub(super) fn text<T: FromStr<Err: fmt::Display>>(&self, name: &'static str) -> Option<T> {
        let Some(prop) = self.get(name) else {
            self.report_missing(name);
            return None;
        };
        self.parse(prop, name)
    }

    /// An optional field, parsed from its text.
    pub(super) fn text_or<T: FromStr<Err: fmt::Display>>(
        &self,
        name: &'static str,
        default: T,
    ) -> Option<T> {
        match self.get(name) {
            Some(prop) => self.parse(prop, name),
            None => Some(default),
        }
    }

    /// A required whole number within bounds.
    pub(super) fn number(&self, name: &'static str, allowed: RangeInclusive<u64>) -> Option<u64> {
        let Some(prop) = self.get(name) else {
            self.report_missing(name);
            return None;
        };
        self.whole_number(prop, name, allowed)
    }

    /// An optional whole number within bounds.
    pub(super) fn number_or(
        &self,
        name: &'static str,
        allowed: RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        match self.get(name) {
            Some(prop) => self.whole_number(prop, name, allowed),
            None => Some(default),
        }
    }

    /// An optional duration in milliseconds within bounds.
    pub(super) fn millis_or(
        &self,
        name: &'static str,
        allowed: RangeInclusive<u64>,
        default: Duration,
    ) -> Option<Duration> {
        let millis = self.number_or(name, allowed, default.as_millis() as u64)?;
        Some(Duration::from_millis(millis))
    }

    /// An optional number from zero to `max`.
    pub(super) fn weight_or(&self, name: &'static str, max: f64, default: f64) -> Option<f64> {
        let Some(prop) = self.get(name) else {
            return Some(default);
        };
        let number = match &prop.value {
            Value::NumberLit(literal) => literal.value.parse::<f64>().ok(),
            _ => None,
        };
        let allowed = number.filter(|number| (0.0..=max).contains(number));
        if allowed.is_none() {
            let found = self.describe(&prop.value);
            let message = format!("found {found}; a number from 0 to {max} is allowed");
            self.report(prop.value.range().start, name, message);
        }
        allowed
    }

    /// An optional boolean.
    pub(super) fn flag_or(&self, name: &'static str, default: bool) -> Option<bool> {
        let Some(prop) = self.get(name) else {
            return Some(default);
        };
        if let Value::BooleanLit(literal) = &prop.value {
            return Some(literal.value);
        }
        let message = format!("found {}; true or false is allowed", self.describe(&prop.value));
        self.report(prop.value.range().start, name, message);
        None
    }

    /// An optional list of texts, empty by default.
    pub(super) fn text_list<T: FromStr<Err: fmt::Display>>(
        &self,
        name: &'static str,
    ) -> Option<Vec<T>> {
        let Some(prop) = self.get(name) else {
            return Some(Vec::new());
        };
        let Value::Array(array) = &prop.value else {
            let message =
                format!("found {}; a list of texts is allowed", self.describe(&prop.value));
            self.report(prop.value.range().start, name, message);
            return None;
        };
        let read: Vec<_> = array.elements.iter().map(|v| self.parse_value(v, name)).collect();
        read.into_iter().collect()
    }

    /// A required object, parsed with `read`.
    pub(super) fn section<T>(
        &self,
        name: &'static str,
        read: impl FnOnce(&Section<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some(prop) = self.get(name) else {
            self.report_missing(name);
            return None;
        };
        self.nested(prop, name, read)
    }

    /// An optional object. If it is missing, `read` receives an empty one and returns the defaults.
    pub(super) fn section_or_default<T>(
        &self,
        name: &'static str,
        read: impl FnOnce(&Section<'_>) -> Option<T>,
    ) -> Option<T> {
        match self.get(name) {
            Some(prop) => self.nested(prop, name, read),
            None => {
                let range = self.object.range;
                let empty = Object { range, properties: Vec::new() };
                let path = self.field(name);
                read(&Section::new(self.text, &empty, path, self.problems))
            }
        }
    }

    /// An optional object whose keys are identifiers and whose values are objects parsed with
    /// `read`; empty by default.
    pub(super) fn entries<K: FromStr<Err: fmt::Display> + Ord, V>(
        &self,
        name: &'static str,
        mut read: impl FnMut(&Section<'_>) -> Option<V>,
    ) -> Option<std::collections::BTreeMap<K, V>> {
        let Some(prop) = self.get(name) else {
            return Some(Default::default());
        };
        let Value::Object(object) = &prop.value else {
            let message = format!("found {}; an object is allowed", self.describe(&prop.value));
            self.report(prop.value.range().start, name, message);
            return None;
        };
        let mut is_complete = true;
        let mut entries = std::collections::BTreeMap::new();
        let outer = Section::new(self.text, object, self.field(name), self.problems);
        for prop in &object.properties {
            let id = prop.name.as_str();
            let key = id.parse::<K>();
            if let Err(error) = &key {
                outer.report(prop.range.start, id, error.to_string());
            }
            let value = outer.nested(prop, id, &mut read);
            match (key, value) {
                (Ok(key), Some(value)) => {
                    entries.insert(key, value);
                }
                _ => is_complete = false,
            }
        }
        is_complete.then_some(entries)
    }

    fn nested<T>(
        &self,
        prop: &ObjectProp<'_>,
        name: &str,
        read: impl FnOnce(&Section<'_>) -> Option<T>,
    ) -> Option<T> {
        let Value::Object(object) = &prop.value else {
            let message = format!("found {}; an object is allowed", self.describe(&prop.value));
            self.report(prop.value.range().start, name, message);
            return None;
        };
        let section = Section::new(self.text, object, self.field(name), self.problems);
        let value = read(&section);
        section.reject_unknown();
        value
    }

    fn get(&self, name: &'static str) -> Option<&'a ObjectProp<'a>> {
        self.known.borrow_mut().push(name);
        self.object.get(name)
    }

    fn parse<T: FromStr<Err: fmt::Display>>(&self, prop: &ObjectProp<'_>, name: &str) -> Option<T> {
        self.parse_value(&prop.value, name)
    }

    fn parse_value<T: FromStr<Err: fmt::Display>>(
        &self,
        value: &Value<'_>,
        name: &str,
    ) -> Option<T> {
        let Value::StringLit(literal) = value else {
            let message = format!("found {}; a text in quotes is allowed", self.describe(value));
            self.report(value.range().start, name, message);
            return None;
        };
        match literal.value.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.report(value.range().start, name, error.to_string());
                None
            }
        }
    }

    fn whole_number(
        &self,
        prop: &ObjectProp<'_>,
        name: &str,
        allowed: RangeInclusive<u64>,
    ) -> Option<u64> {
        let number = match &prop.value {
            Value::NumberLit(literal) => literal.value.parse::<u64>().ok(),
            _ => None,
        };
        let number = number.filter(|number| allowed.contains(number));
        if number.is_none() {
            let (from, to) = allowed.into_inner();
            let found = self.describe(&prop.value);
            let message = format!("found {found}; a whole number from {from} to {to} is allowed");
            self.report(prop.value.range().start, name, message);
        }
        number
    }

    fn describe(&self, value: &Value<'_>) -> String {
        match value {
            Value::Object(_) => "an object".to_owned(),
            Value::Array(_) => "a list".to_owned(),
            other => self.text[other.range().start..other.range().end].to_owned(),
        }
    }

    fn report_missing(&self, name: &str) {
        self.report(self.object.range.start, name, "it must be given, but is missing".to_owned());
    }

    fn reject_duplicates(&self) {
        for (at, prop) in self.object.properties.iter().enumerate() {
            let name = prop.name.as_str();
            if self.object.properties[..at].iter().any(|other| other.name.as_str() == name) {
                self.report(prop.range.start, name, "it is given twice".to_owned());
            }
        }
    }

    fn reject_unknown(&self) {
        let known = self.known.borrow();
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            if known.contains(&name) {
                continue;
            }
            let nearest = known
                .iter()
                .map(|known| (strsim::jaro_winkler(known, name), known))
                .filter(|(score, _)| MIN_SIMILARITY <= *score)
                .max_by(|a, b| a.0.total_cmp(&b.0));
            let hint = match nearest {
                Some((_, known)) => format!("did you mean `{known}`?"),
                None => format!("known here: {}", known.join(", ")),
            };
            self.report(prop.range.start, name, format!("there is no such field; {hint}"));
        }
    }

    fn field(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    fn report(&self, at: usize, name: &str, message: String) {
        let before = &self.text[..at.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        let field = self.field(name);
        self.problems.borrow_mut().push(Problem { line, column, field, message });
    }
}
