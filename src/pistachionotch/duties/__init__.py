"""Duties that one gateway performs for all: reporting usage and ordering servers."""
