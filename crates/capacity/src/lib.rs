//! What the parts of sablecross cost as they grow: each cost is measured at several sizes and fitted with a line, and the
//! tables of docs/CAPACITY.md are computed from the lines for the target size.

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
