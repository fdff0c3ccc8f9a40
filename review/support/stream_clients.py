"""Sound clients of a streaming route, as a process of their own: stream_clients.py SECONDS PER_S ADDRESS...

Each sends one request and leaves after two seconds without a piece, as the users' clients do. Prints a line for
each request.
"""

import random
import re
import socket
import sys
import threading
import time

SECONDS, PER_S, ADDRESSES = float(sys.argv[1]), float(sys.argv[2]), sys.argv[3:]
PATIENCE_S = 2.0
DEADLINE_S = 8.0


def call(number):
    host, port = random.choice(ADDRESSES).rsplit(":", 1)
    start = time.monotonic()
    pieces, tail, outcome = 0, b"", "left"
    try:
        with socket.create_connection((host, int(port)), timeout=1) as connection:
            connection.sendall((f"POST /stream/1 HTTP/1.1\r\nHost: h.example\r\nApi-Key: key-a\r\n"
                                f"Cuminpath-Request-Id: s{number:04}\r\n"
                                f"Cuminpath-Request-Deadline: {int(DEADLINE_S * 1000)}\r\n"
                                "Content-Length: 2\r\n\r\n{}").encode())
            last_piece = start
            while True:
                left = min(last_piece + PATIENCE_S, start + DEADLINE_S) - time.monotonic()
                if left <= 0:
                    break
                connection.settimeout(left)
                part = connection.recv(1 << 17)
                if not part:
                    outcome = "closed"
                    break
                tail = (tail + part)[-200000:]
                found = [int(each) for each in re.findall(rb"id: (\d+)\n", tail)]
                if found and found[-1] > pieces:
                    pieces, last_piece = found[-1], time.monotonic()
                if tail.endswith(b"0\r\n\r\n"):
                    outcome = "complete"
                    break
                if tail.startswith(b"HTTP/1.1 5") and b"}" in tail:
                    outcome = "failed " + tail[9:12].decode()
                    break
    except OSError as failure:
        outcome = f"left ({failure})" if isinstance(failure, socket.timeout) else f"broken ({failure})"
    print(f"{start:.3f} client sends id=s{number:04} to={host}:{port} pieces={pieces} end={outcome} "
          f"after_ms={int(1000 * (time.monotonic() - start))}", flush=True)


threads = []
end = time.monotonic() + SECONDS
while time.monotonic() < end:
    threads.append(threading.Thread(target=call, args=(len(threads),), daemon=True))
    threads[-1].start()
    time.sleep(1 / PER_S)
for thread in threads:
    thread.join(DEADLINE_S)
