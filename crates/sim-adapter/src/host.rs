//! The instances of the process and the sheets of nodes that they share.

use std::collections::HashMap;

use sablecross::Ns;

use crate::error::{AdapterError, Result};
use crate::event::{Event, Sheet, SheetEntry, code};
use crate::instance::Instance;
use crate::record_reader::RecordReader;
use crate::reply::Reply;

/// Runs all instances of the process and dispatches the records of each batch to them.
#[derive(Default)]
pub(crate) struct Host {
    /// The instances by number.
    instances: HashMap<u32, Instance>,
    /// The sheets by slot.
    sheets: HashMap<u32, Vec<SheetEntry>>,
}

impl Host {
    /// Handles the records of one batch and returns the frame of the reply.
    pub(crate) fn handle_batch(&mut self, number: u32, now: Ns, count: u32, body: &[u8]) -> Result<Vec<u8>> {
        let mut reply = Reply::default();
        let mut reader = RecordReader::new(body);
        for _ in 0..count {
            self.handle_record(&mut reader, now, &mut reply)?;
        }
        if !reader.is_empty() {
            return Err(AdapterError::TrailingBytes);
        }
        Ok(reply.into_frame(number))
    }

    fn handle_record(&mut self, reader: &mut RecordReader, now: Ns, reply: &mut Reply) -> Result<()> {
        let code = reader.u8()?;
        if code == code::SHEET {
            let sheet = Sheet::read(reader)?;
            self.sheets.insert(sheet.slot, sheet.entries);
            return Ok(());
        }
        let director = reader.u32()?;
        match code {
            code::OPEN_INSTANCE => self.open_instance(director, reader, now, reply),
            code::DETACH => {
                self.instances.remove(&director);
                Ok(())
            }
            _ => {
                let instance = self.instances.get_mut(&director);
                let instance = instance.ok_or(AdapterError::UnknownInstance { code, director })?;
                let event = Event::read(code, reader)?;
                instance.handle(director, event, &self.sheets, now, reply)
            }
        }
    }

    fn open_instance(
        &mut self,
        director: u32,
        reader: &mut RecordReader,
        now: Ns,
        reply: &mut Reply,
    ) -> Result<()> {
        let seed = reader.u64()?;
        let length = reader.u32()? as usize;
        let settings = reader.take(length)?;
        let settings = std::str::from_utf8(settings).map_err(|_| AdapterError::SettingsNotText)?;
        let instance = Instance::open(settings, seed, now)?;
        if instance.must_subscribe_to_endpoint_list() {
            reply.stream_changes(director);
        }
        self.instances.insert(director, instance);
        Ok(())
    }
}
