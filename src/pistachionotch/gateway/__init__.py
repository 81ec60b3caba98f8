"""Gateway: calls straight to upstreams that register themselves with the platform."""
