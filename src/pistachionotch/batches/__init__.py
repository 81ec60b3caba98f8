"""Batches: submissions whose items run asynchronously and whose results have fixed positions."""
