//! What is spoken on the wire: with clients, with nodes, with the feed.

pub mod clients;
pub mod feed;
mod intake;
pub mod lines;
pub mod links;
pub mod nodes;
pub mod rpc;
