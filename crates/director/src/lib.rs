//! The real director: sockets round the decision module. `wire` speaks, `memory` keeps, `life` starts and
//! stops.

pub mod exchange;
pub mod life;
pub mod memory;
pub mod wire;
