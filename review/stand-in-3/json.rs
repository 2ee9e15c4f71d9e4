//! A reader of JSON.

use std::collections::BTreeMap;

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    /// Field of a table.
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Table(fields) => fields.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    /// Entries of a list.
    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(entries) => entries,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Value::Number(number) => *number,
            _ => 0.0,
        }
    }
}

/// Parses a text; `Null` if it is no JSON.
pub fn parse(text: &[u8]) -> Value {
    let text = String::from_utf8_lossy(text);
    let mut rest = text.as_ref();
    value(&mut rest).unwrap_or(Value::Null)
}

fn value(rest: &mut &str) -> Option<Value> {
    *rest = rest.trim_start();
    match rest.chars().next()? {
        '{' => table(rest),
        '[' => list(rest),
        '"' => string(rest).map(Value::Text),
        't' => word(rest, "true", Value::Bool(true)),
        'f' => word(rest, "false", Value::Bool(false)),
        'n' => word(rest, "null", Value::Null),
        _ => number(rest),
    }
}

fn word(rest: &mut &str, word: &str, value: Value) -> Option<Value> {
    *rest = rest.strip_prefix(word)?;
    Some(value)
}

fn number(rest: &mut &str) -> Option<Value> {
    let is_part = |letter: char| letter.is_ascii_digit() || "+-.eE".contains(letter);
    let end = rest.find(|letter| !is_part(letter)).unwrap_or(rest.len());
    let number = rest[..end].parse().ok()?;
    *rest = &rest[end..];
    Some(Value::Number(number))
}

fn string(rest: &mut &str) -> Option<String> {
    let mut text = String::new();
    let mut letters = rest.char_indices().skip(1);
    while let Some((at, letter)) = letters.next() {
        match letter {
            '"' => {
                *rest = &rest[at + 1..];
                return Some(text);
            }
            '\\' => match letters.next()?.1 {
                'n' => text.push('\n'),
                't' => text.push('\t'),
                'r' => text.push('\r'),
                'u' => {
                    let digits: String = letters.by_ref().take(4).map(|(_, digit)| digit).collect();
                    let code = u32::from_str_radix(&digits, 16).ok()?;
                    text.push(char::from_u32(code).unwrap_or('?'));
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
    None
}

fn list(rest: &mut &str) -> Option<Value> {
    let mut entries = Vec::new();
    *rest = rest[1..].trim_start();
    while !rest.starts_with(']') {
        entries.push(value(rest)?);
        *rest = rest.trim_start();
        *rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
    }
    *rest = &rest[1..];
    Some(Value::List(entries))
}

fn table(rest: &mut &str) -> Option<Value> {
    let mut fields = BTreeMap::new();
    *rest = rest[1..].trim_start();
    while !rest.starts_with('}') {
        let name = string(rest)?;
        *rest = rest.trim_start().strip_prefix(':')?;
        fields.insert(name, value(rest)?);
        *rest = rest.trim_start();
        *rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
    }
    *rest = &rest[1..];
    Some(Value::Table(fields))
}
