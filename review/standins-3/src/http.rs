//! A small HTTP/1.1 server and client on threads.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// A request or a response, with header names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        let found = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        found.map_or_else(String::new, |(_, v)| decode(v))
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(b) => {
                out.push(b);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads from a connection.
pub struct Reader {
    pub io: TcpStream,
    pub buffer: Vec<u8>,
}

impl Reader {
    pub fn new(io: TcpStream) -> Self {
        Self { io, buffer: Vec::new() }
    }

    /// Reads more bytes; false at the end of the connection.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16 << 10];
        let n = self.io.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..n]);
        Ok(n > 0)
    }

    pub fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..n).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let line = self.line()?;
        let mut headers = BTreeMap::new();
        loop {
            let field = self.line()?;
            if field.is_empty() {
                return Ok(Message { line, headers, body: Vec::new() });
            }
            if let Some((name, value)) = field.split_once(':') {
                headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }

    /// Reads one chunk; `None` for the last one.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(io::Error::other)?;
        let data = self.take(size + 2)?;
        Ok((size > 0).then(|| data[..size].to_vec()))
    }

    /// Reads a whole message whose body has a length or chunks.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            while let Some(data) = self.chunk()? {
                message.body.extend(data);
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(message)
    }
}

/// Writes a response with a length.
pub fn respond(
    io: &mut TcpStream,
    status: u16,
    fields: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    io.write_all(format!("{text}\r\n{body}").as_bytes())
}

/// Serves requests on `listener`, a thread each connection; the handler returns whether the connection goes on.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&mut Reader, Message) -> io::Result<bool> + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for io in listener.incoming() {
            let Ok(io) = io else { return };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = io.set_nodelay(true);
                let mut reader = Reader::new(io);
                while let Ok(request) = reader.message() {
                    if !handle(&mut reader, request).unwrap_or(false) {
                        let _ = reader.io.shutdown(Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a GET and returns the status; 0 if there is no answer.
pub fn get_status(address: &str, path: &str) -> u16 {
    let sent = || -> io::Result<u16> {
        let mut io = TcpStream::connect(address)?;
        io.set_read_timeout(Some(Duration::from_secs(1)))?;
        io.write_all(
            format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n")
                .as_bytes(),
        )?;
        Ok(Reader::new(io).head()?.status())
    };
    sent().unwrap_or(0)
}
