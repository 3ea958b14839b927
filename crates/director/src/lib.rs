//! The real director: sockets round the decision module. `wire` speaks, `memory` keeps, `life` starts and
//! stops; `exchange`, `common`, `upper` and `plain` stand below all three.

pub mod common;
#[cfg_attr(not(feature = "duty"), path = "duty_off.rs")]
pub mod duty;
pub mod exchange;
pub mod life;
pub mod memory;
pub mod plain;
#[cfg_attr(not(feature = "duty"), path = "terms_off.rs")]
pub mod terms;
#[cfg_attr(not(feature = "hierarchy"), path = "upper_off.rs")]
pub mod upper;
pub mod wire;
