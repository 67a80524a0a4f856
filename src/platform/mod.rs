//! Small stand-ins of the platform: log service, instance list and workers, in memory and over HTTP.
