"""Gateway: forwards client calls directly to upstreams registered with the platform."""
