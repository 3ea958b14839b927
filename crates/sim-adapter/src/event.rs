//! Decodes the events that the simulator sends. Records and fields have the names of the operators' protocol page.

use sablecross::{EndpointState, Ns, Outcome};

use crate::error::{AdapterError, Result};
use crate::record_reader::RecordReader;

/// The IPv4 address and port of a node, encoded as on the wire.
pub(crate) type Address = [u8; 6];

/// The record codes of events.
pub(crate) mod code {
    pub(crate) const SHEET: u8 = 0;
    pub(crate) const ABORTED: u8 = 1;
    pub(crate) const INVALIDATED: u8 = 2;
    pub(crate) const OPEN_INSTANCE: u8 = 3;
    pub(crate) const BEGUN: u8 = 4;
    pub(crate) const DIRECTORY_UPDATE: u8 = 5;
    pub(crate) const ORDER: u8 = 6;
    pub(crate) const INBOX: u8 = 7;
    pub(crate) const RETURNED: u8 = 8;
    pub(crate) const CHECK_RESULT: u8 = 9;
    pub(crate) const DETACH: u8 = 10;
    pub(crate) const TIMEOUT_FIRED: u8 = 11;
}

/// Flags in the `attrs` of an order.
const ATTR_CLIENT_RETRY: u16 = 2;
const ATTR_WRITE: u16 = 4;

/// Bytes of a `Begun` record after the number of its instance; all of them are skipped.
const BEGUN_BYTES: usize = 16;
/// Bytes of a `CheckResult` record between the number of its instance and its load report; all of them are skipped.
const CHECK_RESULT_BYTES: usize = 11;

/// One node in a sheet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SheetEntry {
    pub(crate) cell: u16,
    pub(crate) zone: u16,
    pub(crate) state: EndpointState,
    pub(crate) started_at: Ns,
    pub(crate) machine_kind: u16,
    pub(crate) address: Address,
}

/// A numbered list of nodes. Directory updates refer to a sheet by its number, `slot`.
#[derive(Debug)]
pub(crate) struct Sheet {
    pub(crate) slot: u32,
    pub(crate) entries: Vec<SheetEntry>,
}

/// How the nodes of a directory update relate to the nodes that are already known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListScope {
    /// The update has only the nodes that changed.
    Delta,
    /// The update has all nodes and replaces the list.
    Snapshot,
    /// The subscription failed; the update has no nodes.
    Failed,
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Order {
    pub(crate) id: u32,
    pub(crate) object: u64,
    pub(crate) part: u32,
    pub(crate) group: u32,
    pub(crate) class: usize,
    pub(crate) size_kb: f64,
    pub(crate) deadline: Ns,
    pub(crate) is_client_retry: bool,
    pub(crate) is_write: bool,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Returned<'a> {
    pub(crate) id: u32,
    pub(crate) attempt: usize,
    pub(crate) address: Address,
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Ns,
    pub(crate) is_final: bool,
    /// The number of the note that tells whether a cached copy was served.
    pub(crate) note: u32,
    /// The values of the node's load report as big-endian floats; empty if the result came without a load report.
    pub(crate) load_report: &'a [[u8; 4]],
}

/// An event for one instance.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event<'a> {
    /// The client disconnected or cancelled the request.
    Aborted {
        id: u32,
    },
    /// A purge of an object, or of the whole group if there is no object.
    Invalidated {
        object: Option<u64>,
        group: u32,
        age: Ns,
    },
    DirectoryUpdate {
        scope: ListScope,
        slot: u32,
    },
    Order(Order),
    Returned(Returned<'a>),
    /// The timer that was set with this handle has fired.
    TimeoutFired {
        handle: u64,
    },
    /// An event that the router does not use.
    Ignored,
}

impl<'a> Event<'a> {
    /// Reads the fields of an event that follow its record code and the number of its instance.
    pub(crate) fn read(code: u8, reader: &mut RecordReader<'a>) -> Result<Event<'a>> {
        match code {
            code::ABORTED => Ok(Event::Aborted { id: reader.u32()? }),
            code::INVALIDATED => read_invalidated(reader),
            code::BEGUN => {
                reader.take(BEGUN_BYTES)?;
                Ok(Event::Ignored)
            }
            code::DIRECTORY_UPDATE => read_directory_update(reader),
            code::ORDER => Ok(Event::Order(read_order(reader)?)),
            code::INBOX => {
                reader.u16()?;
                let length = usize::from(reader.u16()?);
                reader.take(length)?;
                Ok(Event::Ignored)
            }
            code::RETURNED => Ok(Event::Returned(read_returned(reader)?)),
            code::CHECK_RESULT => {
                reader.take(CHECK_RESULT_BYTES)?;
                read_load_report(reader)?;
                Ok(Event::Ignored)
            }
            code::TIMEOUT_FIRED => Ok(Event::TimeoutFired { handle: reader.u64()? }),
            other => Err(AdapterError::UnknownRecord(other)),
        }
    }
}

fn read_invalidated<'a>(reader: &mut RecordReader) -> Result<Event<'a>> {
    let object = reader.u64()?;
    let age = reader.duration()?;
    let group = u32::from(reader.u16()?);
    Ok(Event::Invalidated { object: (object != 0).then_some(object), group, age })
}

fn read_directory_update<'a>(reader: &mut RecordReader) -> Result<Event<'a>> {
    let scope = reader.u8()?;
    let slot = reader.u32()?;
    let _generation = reader.u32()?;
    let scope = match scope {
        0 => ListScope::Delta,
        // The complete list, either the current one or the one that this instance last received.
        1 | 2 => ListScope::Snapshot,
        3 => ListScope::Failed,
        other => return Err(AdapterError::UnknownListScope(other)),
    };
    Ok(Event::DirectoryUpdate { scope, slot })
}

fn read_order(reader: &mut RecordReader) -> Result<Order> {
    let id = reader.u32()?;
    let part = reader.u32_from_f32()?;
    let _tenant = reader.u32()?;
    let object = reader.u64()?;
    let class = usize::from(reader.u8()?);
    let group = reader.u32_from_f32()?;
    let size_kb = f64::from(reader.f32()?);
    let deadline = reader.time()?;
    let attrs = reader.u16()?;
    Ok(Order {
        id,
        object,
        part,
        group,
        class,
        size_kb,
        deadline,
        is_client_retry: attrs & ATTR_CLIENT_RETRY != 0,
        is_write: attrs & ATTR_WRITE != 0,
    })
}

fn read_returned<'a>(reader: &mut RecordReader<'a>) -> Result<Returned<'a>> {
    let id = reader.u32()?;
    let attempt = usize::from(reader.u16()?);
    let address = reader.array()?;
    let outcome = read_outcome(reader)?;
    let elapsed = reader.duration()?;
    let is_final = reader.u8()? != 0;
    let note = reader.u32()?;
    let _source_wait = reader.u32()?;
    let load_report = read_load_report(reader)?;
    Ok(Returned { id, attempt, address, outcome, elapsed, is_final, note, load_report })
}

fn read_outcome(reader: &mut RecordReader) -> Result<Outcome> {
    match reader.u8()? {
        0 => Ok(Outcome::Success),
        2 => Ok(Outcome::Miss),
        5 => Ok(Outcome::Error),
        11 => Ok(Outcome::Overloaded),
        104 => Ok(Outcome::ConnectionLost),
        110 => Ok(Outcome::TimedOut),
        111 => Ok(Outcome::ConnectFailed),
        114 => Ok(Outcome::NotSent),
        125 => Ok(Outcome::Cancelled),
        other => Err(AdapterError::UnknownOutcome(other)),
    }
}

fn read_load_report<'a>(reader: &mut RecordReader<'a>) -> Result<&'a [[u8; 4]]> {
    let count = usize::from(reader.u8()?);
    let (values, _) = reader.take(4 * count)?.as_chunks();
    Ok(values)
}

impl Sheet {
    /// Reads the fields of a sheet that follow its record code.
    pub(crate) fn read(reader: &mut RecordReader) -> Result<Sheet> {
        let slot = reader.u32()?;
        let count = reader.u32()?;
        let entries = (0..count).map(|_| read_sheet_entry(reader)).collect::<Result<_>>()?;
        Ok(Sheet { slot, entries })
    }
}

fn read_sheet_entry(reader: &mut RecordReader) -> Result<SheetEntry> {
    let cell = reader.u16()?;
    let _weight = reader.f32()?;
    let zone = reader.u16()?;
    let state = match reader.u8()? {
        1 => EndpointState::Ready,
        2 => EndpointState::Gone,
        3 => EndpointState::Draining,
        other => return Err(AdapterError::UnknownNodeState(other)),
    };
    let started_at = reader.time()?;
    let machine_kind = reader.u16()?;
    let address = reader.array()?;
    Ok(SheetEntry { cell, zone, state, started_at, machine_kind, address })
}
