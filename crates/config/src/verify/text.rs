//! Checks of single strings.

use super::bounds;

/// Checks a name: ASCII letters, digits, `-`, `_` and `.`, starting with a letter or digit.
pub fn name(s: &str) -> Result<(), String> {
    if s.is_empty() || s.len() > bounds::NAME {
        return Err(format!("a name has 1 to {} bytes, not {}", bounds::NAME, s.len()));
    }
    let starts = s.as_bytes()[0].is_ascii_alphanumeric();
    if !starts || !s.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b)) {
        return Err(
            "a name holds letters, digits, '-', '_', '.' and starts with a letter or digit".into(),
        );
    }
    Ok(())
}

/// Checks the path of a route.
pub fn path(s: &str) -> Result<(), String> {
    if !s.starts_with('/') {
        return Err("a path starts with '/'".into());
    }
    if s.len() > bounds::PATH {
        return Err(format!("a path has at most {} bytes, not {}", bounds::PATH, s.len()));
    }
    if !s.bytes().all(|b| b.is_ascii_graphic() && !b"?#%\\".contains(&b)) {
        return Err("a path holds visible ASCII without '?', '#', '%' and '\\'".into());
    }
    let inner = s[1..].strip_suffix('/').unwrap_or(&s[1..]);
    if s != "/" && inner.split('/').any(|part| matches!(part, "" | "." | "..")) {
        return Err("a path has no empty, '.' or '..' segment".into());
    }
    Ok(())
}
