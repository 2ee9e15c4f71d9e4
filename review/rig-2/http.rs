//! The HTTP/1.1 that stand-ins speak: whole messages over blocking sockets.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bytes of a connection that have been read and not used.
pub struct Conn {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

/// A request or response with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method, or version.
    pub first: String,
    /// Target, or status.
    pub second: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(own, _)| own.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.second.parse().unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.second.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.second.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(own, _)| *own == name)
            .map(|(_, value)| decoded(value))
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .filter(|_| bytes[at] == b'%')
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Conn {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self {
            socket,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, limit)?;
        socket.set_read_timeout(Some(limit))?;
        Ok(Self::new(socket))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    /// Reads more; an error at the end of the stream.
    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        let read = self.socket.read(&mut chunk)?;
        if read == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut first_line = self.line()?;
        while first_line.is_empty() {
            first_line = self.line()?;
        }
        let mut words = first_line.split(' ');
        let mut message = Message {
            first: words.next().unwrap_or_default().to_owned(),
            second: words.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                let value = value.trim().to_owned();
                message.fields.push((name.to_owned(), value));
            }
        }
    }

    /// Reads the body that belongs to a head. Without a length, a response ends with its
    /// connection and a request has none.
    pub fn body(&mut self, head: &Message, is_response: bool) -> io::Result<Vec<u8>> {
        let coding = head.field("transfer-encoding").unwrap_or_default();
        if coding.eq_ignore_ascii_case("chunked") {
            return self.chunks();
        }
        if let Some(length) = head.field("content-length") {
            let length = length.parse().map_err(|_| ErrorKind::InvalidData)?;
            return self.take(length);
        }
        if !is_response || head.second == "204" || head.second == "304" {
            return Ok(Vec::new());
        }
        loop {
            match self.fill() {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::UnexpectedEof => {
                    return Ok(std::mem::take(&mut self.buffer));
                }
                Err(error) => return Err(error),
            }
        }
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
            body.extend(self.take(length)?);
            self.take(2)?;
        }
    }

    /// Reads a whole request.
    pub fn request(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        message.body = self.body(&message, false)?;
        Ok(message)
    }

    /// Reads a whole response.
    pub fn response(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        message.body = self.body(&message, true)?;
        Ok(message)
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = format!(
            "HTTP/1.1 {status} Status\r\n{fields}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        self.send(&bytes)
    }

    /// Closes in order.
    pub fn finish(self) {
        let _ = self.socket.shutdown(std::net::Shutdown::Both);
    }
}

/// One call on a connection of its own.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut conn = Conn::open(address, limit)?;
    conn.send(request.as_bytes())?;
    conn.response()
}
