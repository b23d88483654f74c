//! Stand-ins and drivers of the cases of the second review. See `review/N/run.sh`.

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
    match std::env::args().nth(1).as_deref() {
        Some("worker") => worker::run(),
        Some("case6") => case6::run(),
        Some("case7") => case7::run(),
        Some("case8") => case8::run(),
        Some("case9") => case9::run(),
        Some("case10") => case10::run(),
        _ => site::cannot_run("usage: review-standins-2 case6|case7|case8|case9|case10 FOLDER"),
    }
}
