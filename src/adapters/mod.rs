//! Adapters: the ports over HTTP and JSON-RPC.
