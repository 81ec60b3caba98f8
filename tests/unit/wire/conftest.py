"""Patches the standard library for gevent before any test imports a socket."""

from gevent import monkey

monkey.patch_all()
