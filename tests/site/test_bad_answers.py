"""An endpoint in trouble sends bytes that are no valid answer. Guards against an entry host that
passes them on as one: callers get a failure, and never a line or a body that is not an answer's."""
import asyncio
import socket
import struct

import pytest

import http1
from sitefleet import Site

UPLOAD_BYTES = 4 << 20
EARLY_ROUNDS = 10

# Status lines and header lines that no answer has. HEADERS stands for the id and the signature.
STATUS_LINES = ["HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 20 X",
                "HTTP/1.1 0200 OK", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/9.9 200 OK",
                "HTTP/1.1 101 Switching Protocols", "HTTP/1.1  200 OK", " HTTP/1.1 200 OK"]
BAD_LINES = {"blank in a name": b"X Y: a", "blank behind a name": b"X-A : a",
             "second signature": b"Response-Signature : z",
             "same header twice": b"Response-Signature: z",
             "length with a blank": b"Content-Length : 3", "tab behind a name": b"X-A\t: a",
             "control byte in a name": b"X\x01Y: a", "NUL in a name": b"X\x00Y: a",
             "DEL in a name": b"X\x7fY: a", "control byte in a value": b"X: a\x01b",
             "NUL in a value": b"X: a\x00b", "no colon": b"X-A", "no name": b": a",
             "line that begins with a blank": b" X: a", "two lengths": b"Content-Length: 3",
             "length and chunks": b"Transfer-Encoding: chunked",
             "unknown coding": b"Transfer-Encoding: gzip", "carriage return": b"X: a\rY: b"}
# Lines that are wrong only beside another one. An interim answer has no body that they could frame.
WELL_FORMED_ALONE = {"same header twice", "two lengths", "length and chunks", "unknown coding"}


async def serve_raw(address, answer):
    """Calls answer(headers, reader, writer) when the head of a caller's request has arrived."""
    async def connection(reader, writer):
        try:
            while True:
                first, headers = await http1.read_head(reader)
                if "request-id" in headers:
                    await answer(headers, reader, writer)
                else:
                    await http1.read_body(reader, headers)
                    writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
        except (OSError, EOFError, ValueError, IndexError):
            pass
        finally:
            writer.close()

    host, port = address.rsplit(":", 1)
    return await asyncio.start_server(connection, host, int(port))


def own_headers(headers):
    return ("Request-Id: %s\r\nResponse-Signature: s.%s\r\n" % (
        headers["request-id"], headers["request-id"])).encode()


async def ask(site, body=b"body"):
    """Status, lower-case head and body that one caller gets; status 0 without an answer."""
    request = "%016x" % site.fleet.random.getrandbits(64)
    reader, writer = await asyncio.open_connection(site.entry_ip(0), 8227)
    try:
        writer.write(http1.head("POST /save/x HTTP/1.1", {
            "Host": "site.example", "Request-Id": request, "Authorization": "Bearer key-1",
            "Deadline-Ms": "4000", "Content-Length": str(len(body))}) + body)
        await writer.drain()
        got = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        return int(got.split(b" ")[1]), got
    except (OSError, EOFError, asyncio.TimeoutError):
        return 0, b""
    finally:
        writer.close()


def run_with(answer, check):
    async def run():
        site = Site(controls=1, entries=1, endpoints=(), plain=1, tolerance=0)
        usual = site.document
        site.document = lambda: {**usual(), "limits": {
            "max-body-bytes": UPLOAD_BYTES, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        try:
            await site.start()
            assert await site.until(lambda: site.serves("save")), "not served at the start"
            endpoint = site.endpoints[0]
            endpoint.server.close()
            endpoint.server = await serve_raw(endpoint.address, answer)
            await check(site)
        finally:
            site.close()

    asyncio.run(run())


def check_failure(status, head):
    assert status == 502, "answered with %d: %r" % (status, head)
    assert b"Response-Signature" not in head, "a line of the endpoint was passed on: %r" % head


async def passed_on(site, forms, sent):
    """Asks once for each form, which `sent` then holds, and returns those that are no failure."""
    wrong = {}
    for form in forms:
        sent[:] = [form]
        status, head = await ask(site)
        while status == 503:  # the endpoint is avoided for a while
            await asyncio.sleep(0.2)
            status, head = await ask(site)
        if status != 502 or b"response-signature" in head.lower():
            wrong[form] = head
    return wrong


def check_none_is_passed_on(forms, make):
    sent = []

    async def answer(headers, reader, writer):
        await http1.read_body(reader, headers)
        writer.write(make(sent[0], own_headers(headers)))
        await writer.drain()

    async def check(site):
        wrong = await passed_on(site, forms, sent)
        assert not wrong, "%d of %d passed on: %s" % (len(wrong), len(forms), wrong)

    run_with(answer, check)


def test_a_status_line_of_no_answer_is_not_passed_on():
    check_none_is_passed_on(STATUS_LINES, lambda line, own: line.encode() + b"\r\n" + own +
                            b"Content-Length: 2\r\n\r\nok")


def test_a_malformed_header_line_is_not_passed_on():
    check_none_is_passed_on(BAD_LINES, lambda what, own: b"HTTP/1.1 200 OK\r\n" +
                            BAD_LINES[what] + b"\r\n" + own + b"Content-Length: 2\r\n\r\nok")


def test_a_malformed_header_line_of_an_interim_answer_is_not_passed_over():
    check_none_is_passed_on(
        [what for what in BAD_LINES if what not in WELL_FORMED_ALONE],
        lambda what, own: b"HTTP/1.1 103 X\r\n" + BAD_LINES[what] + b"\r\n\r\nHTTP/1.1 200 OK\r\n" +
        own + b"Content-Length: 2\r\n\r\nok")


@pytest.mark.parametrize("delay_s", [0, 0.002, 0.02], ids=["at once", "2 ms", "20 ms"])
def test_an_answer_cut_off_during_the_upload_is_not_complete(delay_s):
    async def answer(headers, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + own_headers(headers) + b"\r\n" + b"part of it")
        await writer.drain()
        await asyncio.sleep(delay_s)
        reset = struct.pack("ii", 1, 0)  # linger on, for no time
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        writer.transport.abort()
        raise EOFError

    async def check(site):
        for _ in range(EARLY_ROUNDS):
            check_failure(*await ask(site, b"x" * UPLOAD_BYTES))

    run_with(answer, check)


def test_an_early_answer_that_ends_in_order_is_complete():
    """The endpoint ends its side and goes on to read the request."""
    async def answer(headers, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + own_headers(headers) + b"\r\nall of it")
        await writer.drain()
        writer.write_eof()
        try:
            while await reader.read(1 << 16):
                pass
        finally:
            raise EOFError

    async def check(site):
        for _ in range(EARLY_ROUNDS):
            status, head = await ask(site, b"x" * UPLOAD_BYTES)
            assert status == 200, "answered with %d: %r" % (status, head)

    run_with(answer, check)
