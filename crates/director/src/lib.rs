//! The real director: sockets round the decision module. `wire` speaks, `memory` keeps, `life` starts and
//! stops; `exchange`, `common` and `plain` stand below all three.

pub mod common;
pub mod exchange;
pub mod life;
pub mod memory;
pub mod plain;
pub mod wire;
