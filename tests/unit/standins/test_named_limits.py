"""Guards against a stand-in that counts requests against a limit that no response has named yet."""

import io
import json
import math

from pistachionotch.standins.platform_servers import PlatformServerStandIn


def ask(server, method, path, body=b"", **headers):
    started = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "wsgi.input": io.BytesIO(body),
        **headers,
    }
    list(server(environ, lambda status, found: started.append((status, found))))
    return started[0]


def test_limit_is_named_with_the_first_response_and_in_all_of_them():
    server = PlatformServerStandIn("i-1")
    ask(server, "PUT", "/faults", json.dumps({"limit": ["3", "x"]}).encode())
    assert server.windows.changes[-1].per_second == math.inf
    _status, headers = ask(server, "POST", "/p", HTTP_REQUEST_ID="q")
    assert [value for name, value in headers if name == "Server-Limit"] == ["3", "x"]
    assert server.windows.changes[-1].per_second == 3.0
    assert ("Server-Limit", "3") in ask(server, "GET", "/api/report")[1]
    refused = ask(server, "POST", "/p", HTTP_EXPECT_INSTANCE="i-2")
    assert refused[0].startswith("421") and ("Server-Limit", "3") in refused[1]
    assert server.windows.total == 3
    ask(server, "PUT", "/faults", b'{"limit": []}')
    assert server.windows.changes[-1].per_second == 3.0
    ask(server, "POST", "/p", HTTP_REQUEST_ID="q")
    assert server.windows.changes[-1].per_second == math.inf
