"""Commands that look at running processes: ``status``, ``explain`` and ``drain``."""

from __future__ import annotations

import json as json_library
from typing import Any

import attrs
from geventhttpclient import HTTPClient
from returns.result import Failure

from ..config.settings import load_settings
from ..drain import DRAIN_PATH, drain_authorization
from .output import ExitCode, complain, print_json, report_findings

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 10.0


@attrs.frozen
class Reply:
    """Hold one HTTP reply; status 0 means that there was none."""

    status: int
    body: Any
    reason: str = ""

    def problem(self, address: str) -> str:
        """Return why the reply is not the one that was asked for."""
        return self.reason or f"{address}: status {self.status}"


def request(address: str, method: str, path: str, headers: dict[str, str] | None = None) -> Reply:
    """Send one request to a process and return its reply."""
    host, _colon, port = address.rpartition(":")
    if not host or not port.isdigit():
        return Reply(0, None, f"'{address}' is not HOST:PORT")
    client = HTTPClient(
        host,
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=RESPONSE_TIMEOUT_S,
    )
    try:
        response = client.request(method, path, b"", headers or {})
        content = bytes(response.read())
        return Reply(response.status_code, _decode(content))
    except Exception as error:  # the client raises parser, socket and time-out types of its own
        return Reply(0, None, f"{address}: {error}")
    finally:
        client.close()


def _decode(content: bytes) -> Any:
    try:
        return json_library.loads(content)
    except ValueError:
        return content.decode("utf-8", "replace").strip()


def _unavailable(reply: Reply, address: str) -> ExitCode:
    complain(reply.problem(address))
    return ExitCode.UNAVAILABLE


def status(*addresses: str, json: bool = False) -> int:
    """Show the state of entries and agents, with the configuration revision by zone.

    Args:
        addresses: HTTP addresses of processes as HOST:PORT.
        json: Write the states as JSON to standard output.
    """
    if not addresses:
        complain("status needs at least one HOST:PORT")
        return ExitCode.USAGE
    replies = [(address, request(address, "GET", "/v1/status")) for address in addresses]
    missing = [reply.problem(address) for address, reply in replies if reply.status != 200]
    states = [reply.body for _address, reply in replies if reply.status == 200]
    if json:
        print_json({"processes": states, "revisions": _revisions(states), "missing": missing})
    else:
        _print_states(states, missing)
    return ExitCode.UNAVAILABLE if missing else ExitCode.DONE


def _revisions(states: list[dict[str, Any]]) -> dict[str, list[int]]:
    """Return the revisions in force in each zone; more than one means a change under way."""
    zones: dict[str, set[int]] = {}
    for state in states:
        zones.setdefault(state["zone"], set()).add(state["config_revision"])
    return {zone: sorted(revisions) for zone, revisions in sorted(zones.items())}


def _print_states(states: list[dict[str, Any]], missing: list[str]) -> None:
    for state in states:
        print(
            f"{state['role']:6} {state['node']:20} {state['zone']:12} {state['state']:9} "
            f"revision {state['config_revision']}"
        )
        for agent in state.get("agents", ()):
            flag = "leaving" if agent["leaving"] else "ready" if agent["ready"] else "down"
            print(
                f"       {agent['node']:20} {agent['zone']:12} {flag:9} "
                f"queued {agent['queued']} running {agent['running']} "
                f"serves {', '.join(agent['serves'])}"
            )
        for rollout in state.get("rollouts", ()):
            print(f"       {_rollout(rollout)}")
        for name, value in state.get("measures", {}).items():
            print(f"       {name:26} {_measure(value)}")
    for zone, revisions in _revisions(states).items():
        print(f"zone {zone}: revision {', '.join(str(number) for number in revisions)}")
    for reason in missing:
        complain(f"no answer: {reason}")


def _rollout(rollout: dict[str, Any]) -> str:
    text = f"{rollout['model']} in {rollout['zone']}: version {rollout['version']}"
    text += f" on {rollout['done']}, {rollout['waiting']} to go"
    return f"{text}, given up: {', '.join(rollout['failed'])}" if rollout["failed"] else text


def _measure(value: Any) -> str:
    if not isinstance(value, dict):
        return str(value)
    return ", ".join(f"{name}: {number}" for name, number in value.items()) or "-"


def explain(request_id: str, entry: str, json: bool = False) -> int:
    """Show the routing decisions that an entry made for one request.

    Args:
        request_id: The request's id, from the X-Request-Id header or a problem body.
        entry: HTTP address of the entry as HOST:PORT.
        json: Write the decisions as JSON to standard output.
    """
    reply = request(entry, "GET", f"/v1/decisions/{request_id}")
    if reply.status == 404:
        complain(f"{entry} keeps no decisions for {request_id}")
        return ExitCode.UNKNOWN
    if reply.status != 200:
        return _unavailable(reply, entry)
    if json:
        print_json(reply.body)
        return ExitCode.DONE
    for line in reply.body["decisions"]:
        fields = {name: value for name, value in line.items() if name != "decision"}
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{line['decision']:12} {details}")
    return ExitCode.DONE


def drain(address: str, settings: str, json: bool = False) -> int:
    """Tell a process to take no new work, finish what is in flight and stop.

    Args:
        address: HTTP address of the process as HOST:PORT.
        settings: A settings file of the deployment, for its key.
        json: Write the answer as JSON to standard output.
    """
    loaded = load_settings(settings)
    if isinstance(loaded, Failure):
        return report_findings(loaded.failure(), json)
    found = request(address, "GET", "/v1/status")
    if found.status != 200:
        return _unavailable(found, address)
    node, incarnation = found.body["node"], found.body["incarnation"]
    authorization = drain_authorization(loaded.unwrap().key, node, incarnation)
    reply = request(address, "POST", DRAIN_PATH, {"Authorization": authorization})
    if reply.status == 403:
        complain(f"{node} belongs to another deployment")
        return ExitCode.CONFLICT
    if reply.status != 202:
        return _unavailable(reply, address)
    if json:
        print_json({"node": node, "state": "draining"})
    else:
        print(f"{node}: draining")
    return ExitCode.DONE
