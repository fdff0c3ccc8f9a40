"""A replica of a streaming service, as a process of its own: faulty_replica.py PORT ID UNIT EVENTS GAP_S

With a UNIT, the body of each stream consists of these bytes without end, until the caller closes. Without one,
it is a sound replica that sends EVENTS events, GAP_S apart. Prints a line for each request that it runs.
"""

import socket
import sys
import threading
import time

PORT, NAME, UNIT, EVENTS, GAP_S = (int(sys.argv[1]), sys.argv[2], sys.argv[3].encode().decode("unicode_escape").encode(),
                                   int(sys.argv[4]), float(sys.argv[5]))


def serve(connection):
    try:
        while True:
            data = b""
            while b"\r\n\r\n" not in data:
                part = connection.recv(65536)
                if not part:
                    return
                data += part
            head, _, body = data.partition(b"\r\n\r\n")
            fields = {}
            for line in head.decode("latin-1").split("\r\n")[1:]:
                name, _, value = line.partition(":")
                fields[name.strip().lower()] = value.strip()
            left = int(fields.get("content-length", 0)) - len(body)
            while left > 0:
                left -= len(connection.recv(left))
            request_id = fields.get("cuminpath-request-id", "")
            first = int(fields.get("last-event-id", 0)) + 1
            print(f"{time.monotonic():.3f} {NAME} runs id={request_id} first_event={first}", flush=True)
            connection.sendall((f"HTTP/1.1 200 OK\r\nCuminpath-Request-Id: {request_id}\r\n"
                                f"Cuminpath-Response-Stamp: {NAME}.{request_id}\r\n"
                                "Content-Type: text/event-stream\r\n").encode() +
                               (b"\r\n" if UNIT else b"Transfer-Encoding: chunked\r\n\r\n"))
            if UNIT:
                block = UNIT * (65536 // len(UNIT))
                while True:
                    connection.sendall(block)
            for number in range(first, EVENTS + 1):
                time.sleep(GAP_S)
                event = f"id: {number}\ndata: {request_id} {number}/{EVENTS}\n\n".encode()
                connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            connection.sendall(b"0\r\n\r\n")
    except OSError:
        pass
    finally:
        connection.close()


listener = socket.socket()
listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
listener.bind(("127.0.0.1", PORT))
listener.listen(128)
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()
