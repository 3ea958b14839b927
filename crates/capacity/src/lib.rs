//! What the parts of sablecross cost as they grow: each cost measured at five sizes or more and fitted with a
//! line, and the page of the target size that is worked out from those lines.

pub mod cost;
pub mod duties;
pub mod feed;
pub mod fit;
pub mod module;
pub mod page;
pub mod real;
pub mod sheet;
pub mod survey;

pub use cost::{Cost, How};
pub use fit::{Line, Point};
