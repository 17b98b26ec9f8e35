//! Tests of the sink of log lines, which writes to a pipe without blocking.

use std::io::{Read, Write};
use std::os::fd::AsRawFd;

use super::Sink;

fn write_line(sink: &mut Sink, text: &str) {
    sink.write_all(text.as_bytes()).expect("buffered");
    sink.flush().expect("sent or dropped");
}

#[test]
fn a_full_pipe_does_not_block_and_dropped_lines_are_reported() {
    let (mut reader, writer) = std::io::pipe().expect("pipe");
    let mut sink = Sink::new(writer.as_raw_fd());
    let long = format!("{}\n", "x".repeat(2_000));
    for _ in 0..100 {
        write_line(&mut sink, &long);
    }
    let mut first = vec![0; 1 << 16];
    let count = reader.read(&mut first).expect("lines");
    assert!(count > 0);
    write_line(&mut sink, "after\n");
    drop(sink);
    drop(writer);
    let mut rest = String::new();
    reader.read_to_string(&mut rest).expect("rest");
    assert!(rest.contains("event=log-dropped lines="), "{rest}");
    assert!(rest.ends_with("after\n"));
}

#[test]
fn batched_lines_are_written_together() {
    let (mut reader, writer) = std::io::pipe().expect("pipe");
    let mut sink = Sink::new(writer.as_raw_fd());
    sink.enable_batching();
    write_line(&mut sink, "one\n");
    write_line(&mut sink, "two\n");
    sink.write_pending();
    let mut text = [0; 64];
    let count = reader.read(&mut text).expect("lines");
    assert_eq!(&text[..count], b"one\ntwo\n");
    write_line(&mut sink, &format!("{}\n", "x".repeat(4_000)));
    write_line(&mut sink, &format!("{}\n", "y".repeat(4_000)));
    let mut long = [0; 8_192];
    let count = reader.read(&mut long).expect("the first line");
    assert_eq!(
        count, 4_001,
        "the first line is written when the next line does not fit into the same write"
    );
}

#[test]
fn a_long_line_is_cut_to_an_atomic_write() {
    let (mut reader, writer) = std::io::pipe().expect("pipe");
    let mut sink = Sink::new(writer.as_raw_fd());
    write_line(&mut sink, &format!("{}\n", "x".repeat(9_000)));
    drop(sink);
    drop(writer);
    let mut text = String::new();
    reader.read_to_string(&mut text).expect("line");
    assert_eq!(text.len(), 4_096);
    assert!(text.ends_with("x\n"));
}
