//! Start of logging.

use {
    crate::settings::{Log, LogFormat},
    eyre::{Result, WrapErr},
    flexi_logger::{AdaptiveFormat, Logger, LoggerHandle, json_format},
};

/// Starts logging to standard error; the handle changes the level later.
///
/// Colours follow the terminal and `NO_COLOR`.
pub fn open(log: &Log) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(&log.level).wrap_err("reading log.level")?.log_to_stderr();
    let logger = match log.format {
        LogFormat::Json => logger.format(json_format),
        LogFormat::Text if colours() => {
            logger.adaptive_format_for_stderr(AdaptiveFormat::WithThread)
        }
        LogFormat::Text => logger.format(flexi_logger::with_thread),
    };
    logger.start().wrap_err("starting the logger")
}

fn colours() -> bool {
    std::env::var_os("NO_COLOR").is_none_or(|v| v.is_empty())
}
