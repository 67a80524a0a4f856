//! Admission and sharing: pure state machines that decide which request runs next and where.
