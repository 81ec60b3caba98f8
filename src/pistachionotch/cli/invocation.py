"""Binding of arguments by fire, strictly before the command runs.

Fire calls a function with the arguments that fit and only then complains about the others. A
command such as ``apply`` must not have run by then, so fire gets a function that only records the
call.
"""

from __future__ import annotations

import functools
import inspect
from collections.abc import Callable, Sequence
from typing import Any

from .output import ExitCode

_TEXT_TYPES = (str, str | None)
_INTEGER_TYPES = (int, int | None)


class _Bound:
    """Mark that fire bound the call; a call kept in here could be reached as a subcommand."""

    __slots__ = ()


def invoke(name: str, command: Callable[..., int], arguments: Sequence[str]) -> int:
    """Bind ``arguments`` to ``command``, run it, and return its exit code."""
    if any(argument in ("-h", "--help") for argument in arguments):
        print(help_text(name, command))
        return ExitCode.DONE
    if _only_required_texts(command, arguments):
        return int(command(*arguments))
    import fire
    from fire.core import FireExit

    calls: list[tuple[_Bound, Callable[[], int]]] = []
    try:
        bound = fire.Fire(
            _recorder(command, calls),
            command=list(arguments),
            name=name,
            serialize=_print_nothing,
        )
    except FireExit as exit_request:
        return int(exit_request.code)
    for marker, call in calls:
        if bound is marker:
            return int(call())
    return ExitCode.USAGE


def _only_required_texts(command: Callable[..., int], arguments: Sequence[str]) -> bool:
    """Return whether the arguments are just the texts that the command requires.

    Fire would pass them on unchanged, but costs 0.9 MB of memory that a daemon would keep.
    """
    parameters = inspect.signature(command, eval_str=True).parameters.values()
    required = [item for item in parameters if item.default is inspect.Parameter.empty]
    if any(item.annotation is not str for item in required) or len(required) != len(arguments):
        return False
    # An option starts with a dash, and a lone dash separates commands.
    return not any(argument.startswith("-") for argument in arguments)


def help_text(name: str, command: Callable[..., int]) -> str:
    """Return the usage line and the documentation of a command.

    Fire's own help would also list the metadata that its decorators leave on the function.
    """
    words = ["usage: pistachionotch", name]
    for parameter in inspect.signature(command, eval_str=True).parameters.values():
        option = "--" + parameter.name.replace("_", "-")
        if parameter.default is inspect.Parameter.empty:
            words.append(parameter.name.upper())
        elif parameter.annotation is bool:
            words.append(f"[{option}]")
        else:
            words.append(f"[{option}=VALUE]")
    return " ".join(words) + "\n\n" + (inspect.getdoc(command) or "")


def _print_nothing(_result: Any) -> None:
    return None


def _recorder(
    command: Callable[..., int], calls: list[tuple[_Bound, Callable[[], int]]]
) -> Callable[..., _Bound]:
    from fire import decorators
    from fire.core import FireError

    parameters = inspect.signature(command, eval_str=True).parameters

    @functools.wraps(command)
    def record(*args: Any, **kwargs: Any) -> _Bound:
        bound = inspect.signature(command).bind(*args, **kwargs)
        for parameter, value in bound.arguments.items():
            wanted = parameters[parameter].annotation
            if not _fits(wanted, value):
                raise FireError(f"--{parameter} does not accept {value!r}")
        marker = _Bound()
        calls.append((marker, functools.partial(command, *args, **kwargs)))
        return marker

    texts = {name: str for name, item in parameters.items() if item.annotation in _TEXT_TYPES}
    return decorators.SetParseFns(**texts)(record)


def _fits(wanted: Any, value: Any) -> bool:
    if wanted is bool:
        return isinstance(value, bool)
    if wanted in _INTEGER_TYPES:
        return value is None or (isinstance(value, int) and not isinstance(value, bool))
    return True
