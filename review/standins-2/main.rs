//! The stand-ins of the second review: one program, one word for each case.
//!
//! `standins CASE RECORD` plays a case from the root of the repository and writes what was sent, answered and run to
//! RECORD. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod common;
mod crowd;
mod late_connection;
mod many_nodes;
mod same_id;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["nodes", count] => many_nodes::serve_nodes(count.parse().unwrap_or(0)),
        [case, record] => {
            common::begin(record);
            match case {
                "crowd" => crowd::run(),
                "late-connection" => late_connection::run(),
                "many-nodes" => many_nodes::run(),
                "memory" => many_nodes::run_memory(),
                "same-id" => same_id::run(),
                _ => common::cannot_run("no such case"),
            }
        }
        _ => std::process::exit(2),
    }
}
