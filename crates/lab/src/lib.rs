//! Measurements in virtual time: workloads, baselines, figures and plots.
