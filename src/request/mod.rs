//! One request's task: its lifecycle, the way back to its client, and what is reserved for it.

pub mod lifecycle;
pub mod relay;
pub mod reservation;
