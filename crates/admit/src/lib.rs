//! Admission of requests: limits, budgets and the fair queue.
