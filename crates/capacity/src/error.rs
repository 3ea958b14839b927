//! Errors of measurements.

use std::io;

use thiserror::Error;

/// The reason why a cost could not be measured.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum MeasurementError {
    /// An operation on a process, file or connection of the measurement failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The director did not accept connections within 10 seconds of its start.
    #[error("the director did not accept connections within 10 s of its start")]
    DirectorNotServing,
    /// The director did not satisfy the lookups that were sent. Its figures would not be those of the intended load.
    #[error("of {rate} lookups a second, {satisfied:.0} were satisfied and {others:.0} were not")]
    LookupsNotSatisfied {
        /// Number of lookups sent a second.
        rate: f64,
        /// Number of lookups satisfied a second.
        satisfied: f64,
        /// Number of lookups a second that received any other answer.
        others: f64,
    },
    /// A simulated member lost its connection to a voter during the measurement.
    #[error("one of {members} members lost its connection to a voter: {source}")]
    VoterLost {
        /// Number of members in the trial, including the voters.
        members: u32,
        /// The error of the connection.
        source: io::Error,
    },
    /// No voter held the assignment role throughout the measurement.
    #[error("no voter held the assignment role throughout the measurement with {members} members")]
    NoSteadyAssigner {
        /// Number of members in the trial, including the voters.
        members: u32,
    },
}
