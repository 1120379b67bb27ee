"""Tests the proof that a connection delivers before a request to old weights is sent on it."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
import trio
from headcross_base.addresses import Address
from headcross_base.errorcodes import UNREACHED
from headcross_base.monotonic import monotonic
from headcross_facts.facts import VersionNotice
from headcross_gateway.linkproofs import LinkProofs, LinkUnprovenError
from headcross_gateway.outcomes import DidNotRun
from headcross_gateway.weightsrules import MAX_LINK_HOLD_SECONDS
from headcross_platform.dialect import PlatformDialect
from headcross_wire.httpclient import HttpConnection, connect

from tests.test_gateway_places import model_replica_state
from tests.test_gateway_rules import rules

BOUND_SECONDS = 8.0
Serve = Callable[[trio.SocketStream], Awaitable[None]]


@asynccontextmanager
async def connection_to(serve: Serve) -> AsyncIterator[HttpConnection]:
    """Connect to a replica that handles its connections with `serve`."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        connection = await connect(Address("127.0.0.1", port))
        yield connection
        await connection.close()
        nursery.cancel_scope.cancel()


async def answer_all(stream: trio.SocketStream) -> None:
    while await stream.receive_some():
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")


async def answer_and_close(stream: trio.SocketStream) -> None:
    await stream.receive_some()
    head = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\n"
    await stream.send_all(head + b"{}")


async def never_answer(stream: trio.SocketStream) -> None:
    while await stream.receive_some():
        pass


async def close_unanswered(stream: trio.SocketStream) -> None:
    await stream.receive_some()


def proofs(age: float = BOUND_SECONDS) -> LinkProofs:
    """Return the proofs of an entry that learned of version 2 `age` seconds ago."""
    return LinkProofs(rules([VersionNotice(2, monotonic() - age, False)]), PlatformDialect())


@pytest.mark.parametrize(
    ("left", "version", "needed"),
    [
        (MAX_LINK_HOLD_SECONDS + 0.5, 1, False),
        (MAX_LINK_HOLD_SECONDS - 0.1, 1, True),
        (1.0, 1, True),
        (1.0, 2, False),
    ],
)
def test_only_old_weights_whose_bound_is_near_need_a_proof(
    left: float, version: int, needed: bool
) -> None:
    replica_state = model_replica_state("replica", version, 0)
    assert proofs(BOUND_SECONDS - left).is_needed("m", replica_state) == needed
    assert not proofs(BOUND_SECONDS - left).is_needed(None, replica_state)


async def test_a_connection_that_answers_may_carry_a_request_after_its_proof() -> None:
    link_proofs = proofs()
    async with connection_to(answer_all) as connection:
        await link_proofs.prove(connection)
        await connection.send("GET", "/", [], b"")
        assert (await connection.receive_answer()).status == 200
    assert (link_proofs.asked, link_proofs.missed) == (1, 0)


@pytest.mark.parametrize(
    ("serve", "silent"),
    [(never_answer, True), (close_unanswered, False), (answer_and_close, False)],
)
async def test_a_connection_without_its_proof_carries_no_request(
    serve: Serve, silent: bool
) -> None:
    link_proofs = proofs()
    async with connection_to(serve) as connection:
        with pytest.raises(LinkUnprovenError) as raised:
            await link_proofs.prove(connection)
    assert raised.value.silent == silent
    assert (link_proofs.asked, link_proofs.missed) == (1, int(silent))


def test_a_replica_whose_link_is_not_proven_is_ejected_after_the_second_time() -> None:
    replica_state = model_replica_state("replica", 1, 0)
    unproven = DidNotRun(UNREACHED, "", arrived=False, unproven=True)
    replica_state.record_outcome(unproven, version_required=False)
    assert (
        not replica_state.health.is_ejected()
        and replica_state.health.seconds_since_silence() < 1.0
    )
    replica_state.record_outcome(unproven, version_required=False)
    assert replica_state.health.is_ejected()
