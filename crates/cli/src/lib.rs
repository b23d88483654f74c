//! The agatetrack binary: commands, settings, logs and start-up.
