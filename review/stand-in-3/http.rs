//! The little of HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// First line, without its end.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header field, by its name in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(own, _)| own == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Parameter of the query of a request, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(own, _)| *own == name)
            .map(|(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
        let digits = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads one message; `None` at the end of the connection.
pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut head_bytes = 0;
    loop {
        let mut line = String::new();
        let read = from.read_line(&mut line)?;
        head_bytes += read;
        if read == 0 && message.start.is_empty() {
            return Ok(None);
        }
        if read == 0 || head_bytes > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() && !message.start.is_empty() {
            break;
        }
        if message.start.is_empty() {
            line.clone_into(&mut message.start);
        } else if let Some((name, value)) = line.split_once(':') {
            let field = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.fields.push(field);
        }
    }
    message.body = read_body(from, &message)?;
    Ok(Some(message))
}

fn read_body(from: &mut BufReader<TcpStream>, head: &Message) -> io::Result<Vec<u8>> {
    if head
        .field("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    {
        return read_chunks(from);
    }
    let length = head
        .field("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    from.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks(from: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        from.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Bytes of a message with its length.
pub fn bytes(start: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and reads the response.
pub fn exchange(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    (&stream).write_all(request)?;
    let response = read(&mut BufReader::new(stream))?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
