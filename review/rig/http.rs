//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;

/// Start line and header fields of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// First field of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(own, _)| own.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Next head; none when the other side has closed between messages.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(parse_head(&String::from_utf8_lossy(&bytes))));
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Body that belongs to `head`. An answer without a length ends with its connection.
    pub fn body(&mut self, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
        let is_chunked = head.get("transfer-encoding").is_some();
        if is_chunked {
            return self.chunks();
        }
        match head
            .get("content-length")
            .and_then(|text| text.parse().ok())
        {
            Some(length) => self.exactly(length),
            None if is_answer => self.rest(),
            None => Ok(Vec::new()),
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn rest(&mut self) -> io::Result<Vec<u8>> {
        while self.fill()? {}
        Ok(std::mem::take(&mut self.buffer))
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let digits = line.split(';').next().unwrap_or_default().trim();
            let length = usize::from_str_radix(digits, 16).map_err(|_| ErrorKind::InvalidData)?;
            if length == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.exactly(length)?);
            self.exactly(2)?;
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }
}

/// An answer with a length.
pub fn answer(status: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A request with a length, unless it is a GET.
pub fn request(method: &str, target: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes)?;
    stream.flush()
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    Head {
        start,
        fields: fields.collect(),
    }
}
