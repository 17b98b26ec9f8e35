//! Small stand-ins for what willowpoint runs between: the platform and the
//! workers. They are for trying out, for tests and for measurements.

pub mod platform;
pub mod table;
pub mod worker;
