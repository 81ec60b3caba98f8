"""A model server of the stand-ins: runs an item as a stream of five events."""

import base64
import time

from harness import MODEL, respond

EVENTS = 5


def engine(server, sock, request, event_s=0.02):
    """Run a request for tokens, or refuse it if the model is not held."""
    if request.target == "/api/order":
        # No trainer names a version in these cases, so there is nothing to load.
        server.record.write("order", server=server.name, id=request.id,
                            body=request.body.decode("latin-1"))
        respond(sock, 400, [], b"")
        return True
    headers = server.run(request)
    after = int(request.headers.get("last-event-id", 0))
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Weight-Versions: 1",
             "Transfer-Encoding: chunked", *(f"{name}: {value}" for name, value in headers)]
    sock.sendall("\r\n".join([*lines, "", ""]).encode())
    for number in range(after + 1, EVENTS + 1):
        time.sleep(event_s)
        event = f"id: {number}\ndata: {request.id} {number}\n\n".encode()
        sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
    sock.sendall(b"0\r\n\r\n")
    return True


def submission(batch, items, length_hint):
    """Return a batch submission as PROTOCOL.md shows it."""
    found = []
    for number in range(items):
        headers = {"Model": MODEL, "Token-Usage": "540,400", "Prompt-Prefix": "9c2e41:300,5d07b8:240",
                   "Length-Hint": length_hint}
        found.append({"id": f"{batch}{number}", "path": f"/steps/{batch}/{number}",
                      "headers": headers, "body": base64.b64encode(b"prompt").decode(),
                      "token_count": 940, "group_id": f"{batch}g"})
    return {"train_step": 0, "model": MODEL, "min_version": 1, "desired": 1, "items": found}
