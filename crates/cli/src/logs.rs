//! Set-up of logging to standard error.

use {
    crate::settings::{Log, LogFormat},
    eyre::{Result, WrapErr},
    flexi_logger::{AdaptiveFormat, Logger, LoggerHandle, json_format},
};

/// Starts logging to standard error; the handle can change the level later.
///
/// Colours are used on a terminal unless `NO_COLOR` is set.
///
/// Errors: the level is malformed, or a logger was already started.
pub fn open(log: &Log) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(&log.level).wrap_err("reading log.level")?.log_to_stderr();
    let logger = match log.format {
        LogFormat::Json => logger.format(json_format),
        LogFormat::Text if use_colors() => {
            logger.adaptive_format_for_stderr(AdaptiveFormat::WithThread)
        }
        LogFormat::Text => logger.format(flexi_logger::with_thread),
    };
    logger.start().wrap_err("starting the logger")
}

fn use_colors() -> bool {
    std::env::var_os("NO_COLOR").is_none_or(|v| v.is_empty())
}
