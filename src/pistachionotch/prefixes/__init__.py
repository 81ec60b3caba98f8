"""What agents and entries know of the prompt prefixes that engines have cached (no sockets)."""
