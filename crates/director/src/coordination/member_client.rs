//! A single call to a member from outside the fleet, for operators' commands and tests.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use sablecross_coordination::messages::{Reply, Request};

use crate::limits::Limits;
use crate::name_table::PEER_CALL_METHOD;
use crate::wire::rpc::{self, DecodeError};

/// The id of the call, which is the only one on its connection.
const RPC_ID: u32 = 1;
const READ_BYTES: usize = 4_096;

/// Calls a member, and waits for its replies. Connecting and each read take at most `timeout`, and no read begins after
/// `timeout` has passed.
///
/// # Errors
///
/// The error of the connection; [`ErrorKind::InvalidData`] if the answer can't be decoded or the director does not
/// answer calls of members; [`ErrorKind::WouldBlock`] or [`ErrorKind::TimedOut`] if there is no complete answer in
/// time.
pub fn call_member(member: SocketAddr, request: &Request, timeout: Duration) -> io::Result<Vec<Reply>> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&member, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let body = rmp_serde::to_vec(request).map_err(invalid_data)?;
    stream.write_all(&rpc::encode_call(RPC_ID, PEER_CALL_METHOD, &body))?;
    let limits = Limits::new(64, 64, 0, 0);
    let mut received = Vec::new();
    loop {
        match rpc::decode_response(&received, &limits) {
            Ok((_, Some(body), _)) => return rmp_serde::from_slice(body).map_err(invalid_data),
            Ok((_, None, _)) => {
                return Err(invalid_data(
                    "the director does not answer coordination calls (is SABLECROSS_DUTY set there?)",
                ));
            }
            Err(DecodeError::Invalid(cause)) => return Err(invalid_data(cause)),
            Err(DecodeError::Incomplete) if Instant::now() >= deadline => {
                return Err(ErrorKind::TimedOut.into());
            }
            Err(DecodeError::Incomplete) => {}
        }
        let mut bytes = [0; READ_BYTES];
        match stream.read(&mut bytes)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => received.extend_from_slice(&bytes[..n]),
        }
    }
}

fn invalid_data(cause: impl ToString) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, cause.to_string())
}
