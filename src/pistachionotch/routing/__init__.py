"""Routing decisions of an entry: placement, retries, hedges, moves and resumed streams."""
