"""A minimal HTTP/1.1 client and server on asyncio streams, for stand-ins of endpoints, callers and
operators. Tests see truncated messages and closed connections as they occur on the socket."""
import asyncio


class IncompleteResponse(Exception):
    """The connection closed or timed out before the message was complete."""


class TruncatedResponse(IncompleteResponse):
    """The response began and ended before it was complete."""


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head(first, headers):
    lines = [first] + ["%s: %s" % item for item in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def call(address, method, path, headers=None, body=b"", timeout=5.0):
    """Status, headers and body of the response. Raises IncompleteResponse if it is not complete."""
    host, port = address.rsplit(":", 1)
    writer, begun = None, False

    async def talk():
        nonlocal writer, begun
        reader, writer = await asyncio.open_connection(host, int(port))
        sent = {"Host": address, "Content-Length": str(len(body)), **(headers or {})}
        writer.write(head("%s %s HTTP/1.1" % (method, path), sent) + body)
        await writer.drain()
        first, got = await read_head(reader)
        begun = True
        return int(first[1]), got, await read_body(reader, got)

    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, EOFError, ValueError, IndexError, asyncio.TimeoutError,
            asyncio.LimitOverrunError) as error:
        raise (TruncatedResponse if begun else IncompleteResponse)(repr(error)) from error
    finally:
        if writer is not None:
            writer.close()


async def serve(address, handler):
    """Calls handler(method, path, headers, body, writer) for each request of each connection."""
    async def connection(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await handler(first[0], first[1], headers, body, writer)
                await writer.drain()
        except (OSError, EOFError, ValueError, IndexError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    host, port = address.rsplit(":", 1)
    return await asyncio.start_server(connection, host, int(port))
