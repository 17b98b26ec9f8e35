//! Messages and services generated from `proto/`; see `tests/schema.rs`.

#![allow(missing_docs, clippy::all, unused_qualifications)]

include!("generated/willowpoint.v1.rs");
