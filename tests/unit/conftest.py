"""Loads all modules of the project before any test runs.

Hypothesis draws constants from the modules that are loaded, so tests whose verdict must be the same
every time need the same modules in every process, whichever tests ran in it before.
"""

import importlib
import pkgutil

import pistachionotch


def load_all_modules():
    for module in pkgutil.walk_packages(pistachionotch.__path__, "pistachionotch."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


load_all_modules()
