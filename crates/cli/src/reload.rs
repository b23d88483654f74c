//! Applies changed settings to a running instance.
//!
//! The whole file is validated first; an invalid one changes nothing. Request limits, the log level
//! and the contents of the certificate files are applied. Every other changed setting is named in
//! the log as needing a restart.

use {
    crate::{
        instance::Instance,
        settings::{self, Settings},
    },
    flexi_logger::LoggerHandle,
    std::path::Path,
};

/// Reads `file` again and applies the settings that may change; `current` holds the settings in
/// force.
pub fn apply(file: &Path, current: &mut Settings, instance: &Instance, logs: &LoggerHandle) {
    let metrics = &instance.proxy_state.metrics;
    let next = match settings::open(file) {
        Ok(next) => next,
        Err(e) => {
            metrics.reload("refused");
            return log::error!("keeping the old settings: {e}");
        }
    };
    for name in restart_required(current, &next) {
        log::warn!("settings: the change of {name} needs a restart");
    }
    instance.proxy_state.set_limits(next.limits.limits());
    instance.reload_certificate();
    if let Err(e) = logs.parse_new_spec(&next.log.level) {
        log::error!("log.level: {e}");
    }
    current.limits = next.limits;
    current.log.level = next.log.level;
    metrics.reload("loaded");
    log::info!("settings reloaded");
}

/// Names of the settings that differ and need a restart.
pub fn restart_required(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let changes = [
        ("name", old.name != new.name),
        ("zone", old.zone != new.zone),
        ("region", old.region != new.region),
        ("listen", old.listen != new.listen),
        ("operator", old.operator != new.operator),
        ("platform", old.platform != new.platform),
        ("tls", old.tls != new.tls),
        ("peers", old.peers != new.peers),
        ("memory", old.memory != new.memory),
        ("descriptors", old.descriptors != new.descriptors),
        ("stop", old.stop != new.stop),
        ("usage", old.usage != new.usage),
        ("log.format", old.log.format != new.log.format),
    ];
    changes.into_iter().filter(|(_, changed)| *changed).map(|(name, _)| name).collect()
}
