#!/usr/bin/env python3
"""Stand-in of the platform for session tests: its store and its servers.

Usage: platform.py store ADDRESS | platform.py server|native ADDRESS ID

Implements the published protocol over plain sockets, so that a test can break
it at any byte. A GET of /control/... on the same address controls it:

  store:  /control/put?key=K&value=V   writes a record
          /control/delete?key=K        removes a record
          /control/refuse?on=1         refuses every call with 503
          /control/silent?on=1         sends no responses; requests open in
                                       that time never get one
          /control/forget              compacts the history: watches get 410
          /control/gone?on=1           answers every watch with 410
          /control/restore?revision=N  goes back to the records of revision N and
                                       cuts the watches; the era rises by one
          /control/era?value=V         states V as the era instead; "none" for no
                                       era, "own" for the real one again
          /control/delay?ms=N          waits N ms before each answer
          /control/calls               number of calls since the start
          /control/revision            the current revision
  server: /control/mode?next=M         response modes of the next requests, of
                                       MODES and ENDLESS (platform_server.py)
                                       and of platform_faults.py, separated by
                                       commas
          /control/always?mode=M       response mode of all other requests
          /control/limit?value=V&...   states the limits V in all answers; none
                                       without V
          /control/repeat?on=1         repeats a refusal, after it has run the
                                       request, when its id comes again on the
                                       same connection
          /control/delay?ms=N&event_ms=E
                                       waits N ms before each answer and E ms
                                       after each event of a stream
          /control/greet?on=1          sends a refusal without an id at the start
                                       of each connection, then serves it
          /control/arrivals            time of arrival in ms and id of each request
                                       since the start, one a line
          /control/seen                lists the requests since the last list
          /control/count               number of requests since the start
          /control/crash?part=P&how=H  ends all connections and refuses new ones
                                       for CRASH_S, on each request whose prompt
                                       has the part P, once the answer has begun:
                                       within its head (head), or within an event
                                       of a stream without a length (event);
                                       prints a line "crash" for each
          /control/crash?body=B&how=H  the same, on each request with the body B
          /control/crash               the same, once, now

A server waits N ms before its answer if the path has a part wait-N.

A server of kind "native" serves the endpoint interface of peridot-routerd
instead.
"""

import socket
import sys
import threading
import time

from http_connection import Connection
from platform_server import Server
from platform_store import Store

CRASH_S = 1.2


class Listener:
    """A listening socket that can close with all its connections."""

    def __init__(self, address):
        host, port = address.split(":")
        self.address = (host, int(port))
        self.lock = threading.Lock()
        self.open()

    def open(self):
        self.socks = []
        self.down_s = 0
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(self.address)
        self.sock.listen(64)

    def crash(self):
        with self.lock:
            self.down_s = CRASH_S
            self.sock.shutdown(socket.SHUT_RDWR)
            for sock in self.socks:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # the other side has closed it

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                self.sock.close()
                time.sleep(self.down_s)
                self.open()
                continue
            with self.lock:
                self.socks = [s for s in self.socks if s.fileno() >= 0]
                self.socks.append(sock)
            return sock


def run_connection(standin, sock):
    try:
        standin.serve(Connection(sock))
    except (ConnectionError, OSError, ValueError):
        pass  # the test closed or reset the connection
    finally:
        sock.close()


def main():
    kind, address = sys.argv[1:3]
    standin = Store() if kind == "store" else Server(sys.argv[3], kind)
    listener = Listener(address)
    standin.crash_listener = listener.crash
    print("ready %s" % address, flush=True)
    while True:
        sock = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=run_connection, args=(standin, sock),
                         daemon=True).start()


main()
