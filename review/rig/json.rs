//! Reads the few JSON bodies that a node sends to the store.

use std::collections::BTreeMap;

/// A JSON value.
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
    /// Field of a table, or null.
    pub fn field(&self, name: &str) -> &Value {
        match self {
            Value::Table(fields) => fields.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    /// Items of a list; none of anything else.
    pub fn items(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
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

    /// Whole number of a field that counts.
    pub fn count(&self) -> u64 {
        self.number() as u64
    }
}

/// Parses one value.
pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut parser = Parser { bytes, at: 0 };
    parser.value()
}

/// A string with its quotes.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            letter if letter < ' ' => quoted.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let second = *chunk.get(1).unwrap_or(&0);
        let third = *chunk.get(2).unwrap_or(&0);
        let group = u32::from(chunk[0]) << 16 | u32::from(second) << 8 | u32::from(third);
        for place in 0..4 {
            if place <= chunk.len() {
                let index = group >> (18 - 6 * place) & 63;
                encoded.push(char::from(LETTERS[index as usize]));
            } else {
                encoded.push('=');
            }
        }
    }
    encoded
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, wanted: u8) -> Option<()> {
        self.skip_blanks();
        (self.bytes.get(self.at) == Some(&wanted)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_blanks();
        match self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let matches = self.bytes[self.at..].starts_with(word.as_bytes());
        matches.then(|| self.at += word.len())?;
        Some(value)
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Value::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => self.escape(&mut bytes)?,
                byte => bytes.push(byte),
            }
        }
    }

    fn escape(&mut self, bytes: &mut Vec<u8>) -> Option<()> {
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        match byte {
            b'n' => bytes.push(b'\n'),
            b't' => bytes.push(b'\t'),
            b'r' => bytes.push(b'\r'),
            b'u' => {
                let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                self.at += 4;
                let letter = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                bytes.extend_from_slice(letter.to_string().as_bytes());
            }
            other => bytes.push(other),
        }
        Some(())
    }

    fn list(&mut self) -> Option<Value> {
        self.take(b'[')?;
        let mut items = Vec::new();
        while self.take(b']').is_none() {
            if !items.is_empty() {
                self.take(b',')?;
            }
            items.push(self.value()?);
        }
        Some(Value::List(items))
    }

    fn table(&mut self) -> Option<Value> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        while self.take(b'}').is_none() {
            if !fields.is_empty() {
                self.take(b',')?;
            }
            self.skip_blanks();
            let name = self.text()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
        }
        Some(Value::Table(fields))
    }
}
