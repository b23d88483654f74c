//! Stand-ins and drivers of the cases of the second review. See `review/N/run.sh`.

use std::{panic::catch_unwind, process::exit};

mod case10;
mod case6;
mod case7;
mod case8;
mod case9;
mod http;
mod site;
mod store;
mod worker;

fn main() {
    let run: fn() -> ! = match std::env::args().nth(1).as_deref() {
        Some("worker") => worker::run,
        Some("case6") => case6::run,
        Some("case7") => case7::run,
        Some("case8") => case8::run,
        Some("case9") => case9::run,
        Some("case10") => case10::run,
        _ => {
            eprintln!("usage: review-standins-2 case6|case7|case8|case9|case10 FOLDER");
            exit(2)
        }
    };
    // A case that cannot run unwinds, which ends its processes and removes its folder.
    if catch_unwind(|| -> () { run() }).is_err() {
        exit(2);
    }
}
