//! Postcard messages between instances, their framing and their authentication.
