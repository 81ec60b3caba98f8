"""Entry point of the ``pistachionotch`` command."""

from __future__ import annotations


def main() -> None:
    """Patch the standard library for gevent, then run the command line."""
    from gevent import config, monkey

    # All addresses are IP addresses, so lookups never block. gevent's default resolver uses a
    # thread pool and more than twice the CPU time for each new connection.
    config.resolver = "block"
    monkey.patch_all()
    from .cli import run

    run()


if __name__ == "__main__":
    main()
