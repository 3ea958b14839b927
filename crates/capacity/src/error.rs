//! Why a cost could not be measured.

use std::io;

use thiserror::Error;

/// Why a cost could not be measured.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum MeasurementError {
    /// A process, file or connection of the measurement failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The director did not accept connections in time after its start.
    #[error("a director does not serve")]
    DirectorNotServing,
    /// The director did not satisfy the lookups that were sent, so that its figures would be those of another load.
    #[error("of {rate} lookups a second {satisfied:.0} satisfied, {others:.0} not")]
    LookupsNotSatisfied {
        /// Lookups sent a second.
        rate: f64,
        /// Lookups satisfied a second.
        satisfied: f64,
        /// Lookups answered otherwise a second.
        others: f64,
    },
    /// A simulated member lost its connection to a voter during the measurement.
    #[error("a member of {members} lost a voter: {source}")]
    VoterLost {
        /// Members in the trial, the voters among them.
        members: u32,
        /// What the connection reported.
        source: io::Error,
    },
    /// No voter held the assignment role throughout the measurement.
    #[error("no steady dealer of {members}")]
    NoSteadyAssigner {
        /// Members in the trial, the voters among them.
        members: u32,
    },
}
