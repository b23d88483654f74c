//! A small JSON reader, and base64: enough for the calls to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(t) => t.get(name),
            _ => None,
        }
    }
    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(l)) => l,
            _ => &[],
        }
    }
    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(t)) => t.clone(),
            _ => String::new(),
        }
    }
    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(n)) => *n as u64,
            _ => 0,
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Json> {
    let mut at = 0;
    value(bytes, &mut at)
}

fn skip(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut out = BTreeMap::new();
            loop {
                skip(b, at);
                if b.get(*at) == Some(&b'}') {
                    *at += 1;
                    return Some(Json::Table(out));
                }
                let name = text(b, at)?;
                skip(b, at);
                if b.get(*at) != Some(&b':') {
                    return None;
                }
                *at += 1;
                out.insert(name, value(b, at)?);
                skip(b, at);
                if b.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                skip(b, at);
                if b.get(*at) == Some(&b']') {
                    *at += 1;
                    return Some(Json::List(out));
                }
                out.push(value(b, at)?);
                skip(b, at);
                if b.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'"' => Some(Json::Text(text(b, at)?)),
        b't' => word(at, 4, Json::Bool(true)),
        b'f' => word(at, 5, Json::Bool(false)),
        b'n' => word(at, 4, Json::Null),
        _ => {
            let from = *at;
            while b.get(*at).is_some_and(|c| c.is_ascii_digit() || b"+-.eE".contains(c)) {
                *at += 1;
            }
            std::str::from_utf8(&b[from..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn word(at: &mut usize, length: usize, value: Json) -> Option<Json> {
    *at += length;
    Some(value)
}

fn text(b: &[u8], at: &mut usize) -> Option<String> {
    if b.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                match *b.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at + 1..*at + 5)?).ok()?;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend(c.to_string().as_bytes());
                        *at += 4;
                    }
                    c => out.push(c),
                }
                *at += 1;
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out + "\""
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(ALPHABET[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut out, mut n, mut bits) = (Vec::new(), 0u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        let Some(v) = ALPHABET.iter().position(|a| *a == c) else { continue };
        n = n << 6 | v as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}
