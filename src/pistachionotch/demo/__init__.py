"""Demo: the whole path in one process, over loopback sockets, against the stand-ins."""
