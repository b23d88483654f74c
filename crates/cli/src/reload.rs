//! Takes over what may change of the settings while an instance runs.
//!
//! The file is checked whole first; one that is not valid changes nothing. Limits, the log filter
//! and the contents of the certificate's files are taken over, everything else is named in the log
//! as needing a restart.

use {
    crate::{
        instance::Instance,
        settings::{self, Settings},
    },
    flexi_logger::LoggerHandle,
    std::path::Path,
};

/// Reads `file` again and takes over from it what may change; `current` is what is in force.
pub fn apply(file: &Path, current: &mut Settings, instance: &Instance, logs: &LoggerHandle) {
    let meter = &instance.gate.meter;
    let next = match settings::open(file) {
        Ok(next) => next,
        Err(e) => {
            meter.reload("refused");
            return log::error!("the settings in force stay: {e}");
        }
    };
    for name in fixed(current, &next) {
        log::warn!("settings: the change of {name} needs a restart");
    }
    instance.gate.set_limits(next.limits.limits());
    instance.reload_certificate();
    if let Err(e) = logs.parse_new_spec(&next.log.level) {
        log::error!("log.level: {e}");
    }
    current.limits = next.limits;
    current.log.level = next.log.level;
    meter.reload("loaded");
    log::info!("the settings were read again");
}

/// Names of the settings that differ and need a restart.
pub fn fixed(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let changes = [
        ("name", old.name != new.name),
        ("zone", old.zone != new.zone),
        ("region", old.region != new.region),
        ("listen", old.listen != new.listen),
        ("operator", old.operator != new.operator),
        ("platform", old.platform != new.platform),
        ("tls", old.tls != new.tls),
        ("peers", old.peers != new.peers),
        ("stop", old.stop != new.stop),
        ("usage", old.usage != new.usage),
        ("log.format", old.log.format != new.log.format),
    ];
    changes.into_iter().filter(|(_, changed)| *changed).map(|(name, _)| name).collect()
}
