"""Requesters that each send one request on a connection of their own, all at the given moment.

Usage: callers.py HOST PORT COUNT AT NAME KEY, AT on the machine's monotonic clock. Prints one line
`id outcome` for each request: `status N`, `closed` (the connection ended without an answer),
`partial` (within the answer), `refused` (no connection) or `silent`.
"""

import selectors
import socket
import sys
import time

LIMIT_S = 3.0


def request_text(request_id, key):
    body = "two sacks of hazelnuts"
    return (f"POST /order/2f HTTP/1.1\r\nHost: roast.example\r\n"
            f"Fulmarpoint-Request-Id: {request_id}\r\nFulmarpoint-Deadline-Ms: 1000\r\n"
            f"Authorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode()


class Caller:
    """One requester and its connection."""

    def __init__(self, address, request_id, key):
        self.request_id = request_id
        self.received = b""
        self.outcome = ""
        self._text = request_text(request_id, key)
        self.socket = socket.socket()
        try:
            self.socket.connect(address)
            self.socket.sendall(self._text)
            self.socket.setblocking(False)
        except OSError as error:
            self.outcome = "refused" if isinstance(error, ConnectionRefusedError) else "closed"

    def read(self):
        """Reads what has arrived and sets the outcome once it is known."""
        try:
            data = self.socket.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.received += data
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if separator:
            length = 0
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            if len(body) >= length:
                self.outcome = "status " + head.split(b" ")[1].decode()
                return
        if not data:
            self.outcome = "partial" if self.received else "closed"


def main():
    host, port, count, at, name, key = sys.argv[1:]
    time.sleep(max(0.0, float(at) - time.monotonic()))
    callers = [Caller((host, int(port)), f"{name}-{number}", key) for number in range(int(count))]
    selector = selectors.DefaultSelector()
    waiting = [caller for caller in callers if not caller.outcome]
    for caller in waiting:
        selector.register(caller.socket, selectors.EVENT_READ, caller)
    end = time.monotonic() + LIMIT_S
    while waiting and time.monotonic() < end:
        for key_, _ in selector.select(max(0.0, end - time.monotonic())):
            key_.data.read()
            if key_.data.outcome:
                selector.unregister(key_.fileobj)
                waiting.remove(key_.data)
    for caller in callers:
        print(caller.request_id, caller.outcome or "silent")
        caller.socket.close()


main()
