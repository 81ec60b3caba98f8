"""Entry point of the ``pistachionotch`` command."""

from __future__ import annotations


def main() -> None:
    """Patch the standard library for gevent, then run the command line."""
    from gevent import monkey

    monkey.patch_all()
    from .cli import run

    run()


if __name__ == "__main__":
    main()
