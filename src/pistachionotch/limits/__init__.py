"""Rate limits that upstreams announce, and the permits by which gateways share them."""
