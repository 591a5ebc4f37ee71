"""Answers of the platform's servers that begin before the request was read, or
whose status is none; see platform_server.py.

Modes:
  early-FRAMING-END  a part of a 200 as soon as the head of the request is read:
                     with a length, in chunks, or up to the end of the
                     connection (length, chunked, close). Then the connection is
                     reset (reset), closed for sending and reset (fin-reset), or
                     closed for sending alone (fin).
  early-whole-END    the same with the whole answer and its length; afterwards
                     the connection is reset (reset), or the body is read and
                     the next request served (keep); or the answer comes LATE_S
                     later, with a reset right behind it (late).
  early-refusal-END  the same with a refusal without a length.
  status-TEXT        an answer with TEXT in place of the status; the connection
                     stays open.
"""

import re
import socket
import time

EARLY = re.compile("early-(length|chunked|close)-(reset|fin-reset|fin)$|"
                   "early-whole-(late|reset|keep)$|"
                   "early-refusal-(late|reset|fin-reset)$")
STATUS = re.compile("status-[0-9]+$")
# Lets the caller read the part, and fill the connection with its request.
PAUSE_S = 0.1
# Lets a test stop the host before the answer comes.
LATE_S = 0.6
PART = b"a part"


def is_mode(mode):
    return bool(EARLY.match(mode) or STATUS.match(mode))


def is_early(mode):
    return bool(EARLY.match(mode))


def end(connection, how):
    """Ends a connection without reading what was sent on it."""
    if how != "late":
        time.sleep(PAUSE_S)
    if how.startswith("fin"):
        connection.sock.shutdown(socket.SHUT_WR)
        time.sleep(PAUSE_S)
    if how != "fin":
        connection.reset()
        return
    # The caller closes the connection.
    while connection.sock.recv(65536):
        pass


def answer_early(connection, mode, common, not_run):
    """Answers before the body is read; returns True when the connection goes
    on."""
    _, framing, how = mode.split("-", 2)
    if how == "late":
        time.sleep(LATE_S)
    if framing == "whole":
        connection.respond(200, common, PART)
    else:
        head = "HTTP/1.1 %s X\r\n" % (503 if framing == "refusal" else 200)
        fields = list(common)
        part = PART
        if framing == "length":
            fields.append(("Content-Length", "100"))
        elif framing == "chunked":
            fields.append(("Transfer-Encoding", "chunked"))
            part = b"%x\r\n%s\r\n" % (len(PART), PART)
        elif framing == "refusal":
            fields.append((not_run, "1"))
            part = b""
        head += "".join("%s: %s\r\n" % field for field in fields)
        connection.sock.sendall(head.encode() + b"\r\n" + part)
    if how != "keep":
        end(connection, how)
    return how == "keep"


def answer_with_status(connection, mode, common):
    head = "HTTP/1.1 %s X\r\n" % mode.split("-", 1)[1]
    head += "".join("%s: %s\r\n" % field for field in common)
    connection.sock.sendall(head.encode() + b"Content-Length: %d\r\n\r\n%s" %
                            (len(PART), PART))
