//! Control's state machine.
