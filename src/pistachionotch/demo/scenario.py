"""HTTP client that sends the requests of a caller or a trainer to an entry."""

from __future__ import annotations

import json
import time
from typing import Any

import attrs
from geventhttpclient import HTTPClient

from ..config.spec import Address

RESPONSE_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 15.0
STEP_DEADLINE_MS = 60_000


@attrs.frozen
class Response:
    """An HTTP response and how long it took; names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes
    elapsed_ms: int

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


@attrs.frozen
class EntryClient:
    """Send requests to one entry."""

    address: Address

    def send(
        self, method: str, path: str, value: Any = None, headers: dict[str, str] | None = None
    ) -> Response:
        """Send one request and read the whole response."""
        body = b"" if value is None else json.dumps(value).encode()
        client = HTTPClient(
            self.address.host,
            self.address.port,
            concurrency=1,
            network_timeout=RESPONSE_TIMEOUT_S,
        )
        started = time.monotonic()
        try:
            response = client.request(method, path, body, headers or {})
            content = bytes(response.read())
            names = {str(name).lower(): str(text) for name, text in response.items()}
            elapsed_ms = round((time.monotonic() - started) * 1000)
            return Response(response.status_code, names, content, elapsed_ms)
        finally:
            client.close()

    def wait_ready(self) -> bool:
        """Wait until the entry has agents to route to; return False after the time limit."""
        limit = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < limit:
            if self.send("GET", "/readyz").status == 200:
                return True
            time.sleep(0.05)
        return False

    def order(self, key: str, body: dict[str, Any]) -> Response:
        """Send a storefront order with an idempotency key, so that it runs at most once."""
        return self.send("POST", "/services/storefront/orders", body, {"Idempotency-Key": key})

    def complete(self, prompt: str, max_tokens: int, timeout_ms: int = 10_000) -> Response:
        """Request one completion."""
        request = {"model": "fitting", "prompt": prompt, "max_tokens": max_tokens}
        headers = {"X-Request-Timeout-Ms": str(timeout_ms)}
        return self.send("POST", "/v1/completions", request, headers)

    def stream(self, prompt: str, max_tokens: int) -> tuple[Response, list[dict[str, Any]]]:
        """Request a streamed completion and return its events; a broken stream lacks some."""
        request = {
            "model": "fitting",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        response = self.send("POST", "/v1/completions", request)
        events = []
        for block in response.body.decode().split("\n\n"):
            if not block.startswith("data: ") or block == "data: [DONE]":
                continue
            events.append(json.loads(block.removeprefix("data: ")))
        return response, events

    def run_step(
        self, trainer: str, step: int, prompts: list[str], samples_per_group: int
    ) -> list[dict[str, Any]]:
        """Create a step and pull all its samples."""
        request = {
            "trainer": trainer,
            "step": step,
            "model": "fitting",
            "groups": len(prompts),
            "samples_per_group": samples_per_group,
            "staleness_bound": 0,
            "deadline_ms": STEP_DEADLINE_MS,
            "prompts": prompts,
            "sampling": {"max_tokens": 12},
        }
        created = self.send("POST", "/v1/steps", request)
        if created.status != 201:
            raise RuntimeError(f"step not created: {created.status} {created.body!r}")
        return self.pull_samples(trainer, step)

    def pull_samples(self, trainer: str, step: int) -> list[dict[str, Any]]:
        """Pull the samples of a step by cursor; each pull acknowledges the previous one."""
        samples: list[dict[str, Any]] = []
        cursor, attempt = 0, 1
        while True:
            path = f"/v1/steps/{trainer}/{step}/samples?cursor={cursor}&attempt={attempt}"
            response = self.send("GET", path)
            if response.status == 409:
                attempt = response.json()["next_attempt"]
                continue
            if response.status != 200:
                time.sleep(0.2)
                continue
            batch = response.json()
            samples.extend(batch["samples"])
            if batch["complete"]:
                return samples
            if batch["samples"]:
                cursor, attempt = cursor + 1, 1
