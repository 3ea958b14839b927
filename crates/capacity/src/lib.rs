//! Measures how the costs of sablecross grow. Each cost is measured at several sizes and fitted with a line; the tables
//! of docs/CAPACITY.md are computed from these lines for the target size.

mod coordination;
mod cost;
pub mod discovery;
mod error;
mod fit;
pub mod model;
mod real_director;
pub mod report;
pub mod router;
pub mod suite;

pub use cost::{Cost, MeasurementKind};
pub use error::MeasurementError;
pub use fit::{LinearFit, Point};
pub use real_director::DirectorCommand;
