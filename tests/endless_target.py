"""A target in a process of its own, whose responses never end.

The path names what is repeated without end. Paths that name nothing of the
kind get a short response.
"""

import asyncio
import sys
from typing import Final

_CHUNKED: Final = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS: Final = {
    "one-byte-chunks": (_CHUNKED, b"1\r\nx\r\n" * 3000),
    "two-byte-chunks": (_CHUNKED, b"2\r\nxy\r\n" * 3000),
    "chunk-extensions": (_CHUNKED, b"1;a=b\r\nx\r\n" * 2000),
    "trailers": (_CHUNKED + b"0\r\n", b"x: y\r\n" * 3000),
    "headers": (b"", b"x-a: y\r\n" * 3000),
    "length": (b"Content-Length: 99999999999\r\n\r\n", b"x" * 65536),
    "no-length": (b"Connection: close\r\n\r\n", b"x" * 65536),
}
"""What follows the first headers of a response, and what is repeated."""


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer requests until one gets a response without an end."""
    try:
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
            request_id = next(
                line for line in lines if line.lower().startswith(b"x-attempt")
            )
            kind = lines[0].decode().split(" ")[1].rpartition("/")[2]
            head = (
                b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
                + request_id
                + b"\r\n"
            )
            if kind not in ENDLESS:
                writer.write(head + b"Content-Length: 2\r\n\r\nok")
                await writer.drain()
                continue
            start, repeated = ENDLESS[kind]
            writer.write(head + start)
            while True:
                writer.write(repeated)
                await writer.drain()
                # Drain doesn't wait while the kernel takes all.
                await asyncio.sleep(0)
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def run(host: str, port: int) -> None:
    """Serve at an address for ever."""
    server = await asyncio.start_server(serve, host, port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], int(sys.argv[2])))
