//! One request from accept to its last byte.
