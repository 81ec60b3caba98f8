"""Slopes of what the processes and duties cost, measured over real sockets on loopback."""
