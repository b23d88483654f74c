//! `explain --logs`: the steps of a request and the counts of causes, read from log lines.

use agate_cli::explain::log_lines::{LogLine, count_causes, filter_request};

const LOG: &str = r#"
  20.9950 front-a {"at":2000,"event":"refused","request":"r1","cause":"rejected","not_run":true,"text":"request not served"}
{"at":1900,"event":"attempt_failed","request":"r1","endpoint":"i-1","cause":"endpoint declared that it ran nothing","text":"an endpoint did not answer the request"}
{"at":1950,"event":"refused","request":"r2","cause":"full","text":"request not served"}
{"at":1951,"event":"refused","request":"r3","cause":"full","text":"request not served"}
not a line
{"at":broken
"#;

fn lines() -> Vec<LogLine> {
    LOG.lines().filter_map(LogLine::parse).collect()
}

#[test]
fn request_steps() {
    let found = filter_request(lines(), "r1");
    let steps: Vec<String> = found.iter().map(|l| l.format_step(1900)).collect();
    assert_eq!(steps.len(), 2);
    assert!(steps[0].contains("0 ms") && steps[0].contains("endpoint=i-1"), "{steps:?}");
    assert!(steps[1].contains("100 ms  20.9950 front-a  refused"), "{steps:?}");
    assert!(steps[1].contains("cause=rejected, not_run=true"), "{steps:?}");
    assert!(filter_request(lines(), "r9").is_empty());
}

#[test]
fn cause_counts() {
    let counts = count_causes(lines());
    assert_eq!(counts[0], ("refused: full".to_owned(), 2));
    assert_eq!(counts.len(), 3);
}
