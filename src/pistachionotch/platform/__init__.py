"""Adapters between the gateway and the platform that it runs on; they only translate."""
