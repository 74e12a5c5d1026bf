//! Settings file of the fescuetide daemon.

pub mod settings;
