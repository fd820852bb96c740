//! What the tests share; each test program uses a part of it.
#![allow(dead_code)]

pub mod faults;
pub mod peers;
pub mod program;
pub mod scheduler_harness;
pub mod script;
