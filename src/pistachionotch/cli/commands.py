"""Table of the commands; a new command is a function in a module of its own and one line here."""

from __future__ import annotations

import importlib
from collections.abc import Callable

import attrs


@attrs.frozen
class Command:
    """Name the function of a command, which returns an exit code, without importing it."""

    module: str
    function: str
    summary: str

    def load(self) -> Callable[..., int]:
        """Import the command's module and return its function."""
        module = importlib.import_module(self.module, __package__)
        function: Callable[..., int] = getattr(module, self.function)
        return function


COMMANDS: dict[str, Command] = {
    "demo": Command(".demo", "demo", "show the whole path in one process"),
    "entry": Command(".daemons", "entry", "run an entry"),
    "agent": Command(".daemons", "agent", "run an agent beside an upstream"),
    "gateway": Command("..platform.main", "gateway", "run a gateway on the users' platform"),
    "disk": Command("..platform.main", "disk", "hold the place of a VM with a disk there"),
    "ask": Command(".configuration", "ask", "ask the questionnaire's questions, write the answers"),
    "generate": Command(".configuration", "generate", "generate the configuration from answers"),
    "check": Command(".check", "check", "report every finding of a configuration"),
    "fetch": Command(".apply", "fetch", "save the configuration in effect"),
    "apply": Command(".apply", "apply", "put a configuration into effect everywhere"),
    "bench": Command(".bench", "bench", "measure the placement and admission policy"),
    "status": Command(".status", "status", "show processes, members, queues and revisions"),
    "explain": Command(".status", "explain", "show the decisions for one request"),
    "trace": Command(
        ".trace", "trace", "show one request's lines in the logs of several processes"
    ),
    "slopes": Command(".slopes", "slopes", "measure what duties and stored objects cost"),
    "drain": Command(".status", "drain", "tell a process to finish its work and stop"),
}


def usage() -> str:
    """Return the list of the commands."""
    lines = ["usage: pistachionotch COMMAND [ARGUMENTS]", "", "commands:"]
    lines.extend(f"  {name:10}{command.summary}" for name, command in COMMANDS.items())
    lines.extend(["", "pistachionotch COMMAND --help describes one command."])
    return "\n".join(lines)
