"""Software versions of upstreams: which one began a stream, and whether the stream may go on."""
