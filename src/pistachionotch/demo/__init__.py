"""Demo of a deployment in one process, over loopback sockets and against the stand-ins."""
