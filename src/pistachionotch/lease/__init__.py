"""Leases with fencing tokens, stored in the object API."""
