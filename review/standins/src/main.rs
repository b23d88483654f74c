//! Runs one case: `case N RECORD`, in the root of the repository. Exits with 1 if the rule was broken, 0
//! if it held, 2 if the case could not run.

mod case2;
mod case3;
mod case4;
mod case5;
mod http;
mod json;
mod machine;
mod platform;
mod record;
mod sys;
mod worker;

use {record::Record, std::process::ExitCode};

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, file) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    if case == "worker" {
        let address = args.next().and_then(|a| a.parse().ok()).expect("an address");
        case3::worker(&file, address);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let Some(record) = Record::create(&file) else {
        eprintln!("cannot write {file}");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-case-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let held = match case.as_str() {
        "2" => case2::run(&record, &folder, trouble),
        "3" => case3::run(&record, &folder, trouble),
        "4" => case4::run(&record, &folder, trouble),
        "5" => case5::run(&record, &folder, trouble),
        _ => None,
    };
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs: {}", folder.display());
    }
    match held {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}
