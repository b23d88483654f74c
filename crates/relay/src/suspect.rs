//! Names requests by what their returns have in common.

use {
    crate::serve::Job,
    agate_quarantine::{Print, Work, hex, print},
};

/// Print of some work of a request.
pub fn print_of(job: &Job, work: Work) -> Print {
    let org = job.org.as_ref().map_or("", |org| &org.name);
    print(work, org, job.uri.path(), &job.body)
}

/// The same as it stands in log lines.
pub fn print_text(job: &Job, work: Work) -> String {
    hex(print_of(job, work))
}
