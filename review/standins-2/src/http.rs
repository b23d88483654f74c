//! Small HTTP/1.1 server and client on threads, for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// A request or the head of a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Field of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| decode(v)).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        let hex = text.get(i + 1..i + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 2;
            }
            (byte, _) => out.push(byte),
        }
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads a head.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(Message { first, headers, body: Vec::new() });
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a request with its body, which has a length or comes in chunks.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut head = read_head(reader)?;
    if head.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            head.body.extend(chunk);
        }
        return Ok(head);
    }
    let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    head.body = vec![0; length];
    reader.read_exact(&mut head.body)?;
    Ok(head)
}

/// Reads a chunk; `None` at the end of the body.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let size = usize::from_str_radix(read_line(reader)?.trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok((size > 0).then_some(chunk))
}

/// Bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    [out.as_bytes(), b"\r\n", body].concat()
}

/// Serves each connection of `listener` on a thread of its own.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(BufReader<TcpStream>, TcpStream) -> io::Result<()> + Clone + Send + 'static,
) {
    for io in listener.incoming() {
        let Ok(io) = io else { continue };
        let handle = handle.clone();
        thread::spawn(move || {
            let _ = io.set_nodelay(true);
            if let Ok(writer) = io.try_clone() {
                let _ = handle(BufReader::new(io), writer);
            }
        });
    }
}

/// What a client saw of a response.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the body ended as its length or its chunks say.
    pub complete: bool,
    pub retry_after: Option<f64>,
}

/// Sends one request over a connection of its own and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let mut answer = Answer::default();
    let asked = (method, path, headers, body);
    let _ = exchange(address, asked, limit, &mut answer);
    answer
}

/// A connection that is kept for several requests.
pub struct Kept(BufReader<TcpStream>);

impl Kept {
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let io = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        io.set_nodelay(true)?;
        io.set_read_timeout(Some(limit))?;
        Ok(Self(BufReader::new(io)))
    }

    /// Sends a request with a body and reads the response, which has a length or comes in chunks.
    pub fn post(&mut self, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Answer {
        let mut answer = Answer::default();
        let _ = self.exchange(path, headers, body, &mut answer);
        answer
    }

    fn exchange(
        &mut self,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        answer: &mut Answer,
    ) -> io::Result<()> {
        let mut text = format!("POST {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        self.0.get_mut().write_all(&[text.as_bytes(), b"\r\n", body].concat())?;
        let head = read_head(&mut self.0)?;
        answer.status = head.status();
        if head.header("transfer-encoding").is_some() {
            while let Some(chunk) = read_chunk(&mut self.0)? {
                answer.body.extend(chunk);
            }
        } else {
            let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            let mut rest = vec![0; length];
            self.0.read_exact(&mut rest)?;
            answer.body = rest;
        }
        answer.complete = true;
        Ok(())
    }
}

/// Method, path, headers and body of a request.
type Asked<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a [u8]);

fn exchange(
    address: SocketAddr,
    (method, path, headers, body): Asked<'_>,
    limit: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let end = Instant::now() + limit;
    let mut io = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    io.set_nodelay(true)?;
    io.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    io.write_all(&[text.as_bytes(), b"\r\n", body].concat())?;
    let mut reader = BufReader::new(io);
    let head = read_head(&mut reader)?;
    answer.status = head.status();
    answer.retry_after = head.header("retry-after").and_then(|v| v.parse().ok());
    if head.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(&mut reader)? {
            answer.body.extend(chunk);
            if Instant::now() > end {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        answer.complete = true;
    } else if let Some(length) = head.header("content-length").and_then(|v| v.parse().ok()) {
        let mut rest = vec![0; length];
        reader.read_exact(&mut rest)?;
        answer.body = rest;
        answer.complete = true;
    } else {
        // Neither a length nor chunks: the end proves nothing.
        reader.read_to_end(&mut answer.body)?;
    }
    Ok(())
}
