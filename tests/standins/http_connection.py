"""Plain HTTP/1.1 connections of the stand-ins."""

import socket


class Connection:
    """One accepted connection with buffered reading of requests."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""
        self.method = None  # of the latest request
        self.answered_early = False  # the latest request
        self.refused_ids = set()

    def read_until(self, mark):
        while mark not in self.data:
            more = self.sock.recv(65536)
            if not more:
                return None
            self.data += more
        head, self.data = self.data.split(mark, 1)
        return head

    def read_request(self, on_head=None):
        """Reads a request. on_head() gets its method, target and headers before
        the body is read; the request ends the connection if it returns False."""
        head = self.read_until(b"\r\n\r\n")
        if head is None:
            return None
        lines = head.decode("latin-1").split("\r\n")
        fields = [line.split(": ", 1) for line in lines[1:]]
        headers = {name.lower(): value for name, value in fields}
        length = int(headers.get("content-length", 0))
        method, target, _ = lines[0].split(" ")
        self.method = method
        if on_head and not on_head(method, target, headers):
            return None
        while len(self.data) < length:
            more = self.sock.recv(65536)
            if not more:
                return None
            self.data += more
        body, self.data = self.data[:length], self.data[length:]
        return method, target, headers, lines[1:], body

    def respond(self, status, headers, body, close=False):
        text = "HTTP/1.1 %d X\r\n" % status
        for name, value in headers:
            text += "%s: %s\r\n" % (name, value)
        text += "Content-Length: %d\r\n" % len(body)
        if close:
            text += "Connection: close\r\n"
        self.sock.sendall(text.encode() + b"\r\n" +
                          (b"" if self.method == "HEAD" else body))

    def reset(self):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()
