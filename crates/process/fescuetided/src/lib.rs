//! Settings of the fescuetide daemon.

pub mod settings;
