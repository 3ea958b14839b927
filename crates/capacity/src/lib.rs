//! What the parts of sablecross cost as they grow: each cost measured at five sizes or more and fitted with a
//! line, and the page of the target size that is worked out from those lines.

pub mod coordination;
pub mod cost;
pub mod discovery;
pub mod fit;
pub mod model;
pub mod real_director;
pub mod report;
pub mod router;
pub mod suite;

pub use cost::{Cost, MeasurementKind};
pub use fit::{LinearFit, Point};
