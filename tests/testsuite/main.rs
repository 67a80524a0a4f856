//! The integration tests, one module per topic.
