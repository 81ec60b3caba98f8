"""Access of commands to the object API."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from ..config.settings import load_settings
from ..config.spec import Address
from ..findings import Finding, Place
from ..objects.api import ObjectStore

ARGUMENT = Place("--object-api")


def find_address(
    object_api: str | None, settings: str | None
) -> Result[Address, tuple[Finding, ...]]:
    """Return the address of the object API from the option or from a settings file."""
    if object_api is not None:
        try:
            return Success(Address.parse(object_api))
        except ValueError as error:
            return Failure((Finding(ARGUMENT, str(error)),))
    if settings is not None:
        return load_settings(settings).map(lambda loaded: loaded.object_api)
    return Failure((Finding(ARGUMENT, "this option or --settings is needed"),))


def open_store(address: Address) -> ObjectStore:
    """Return a client of the object API at ``address``."""
    from ..objects.client import HttpObjectStore

    return HttpObjectStore(address.host, address.port)
