"""Tests of parts of prompts that crash replicas, and of their effect on other requests.

Two entries run as real processes before ten replicas of the model's service. Every request has a
body, a token count and a last part of its own.
"""

import itertools
import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import pytest
import trio
from headcross_base.errorcodes import ENDS_REPLICAS, WITHDRAWN
from headcross_cli.explaining import describe_line, read_trace
from headcross_platform import names

from testing.machinecaller import Reply, ask
from testing.machinelayout import MODEL_SERVICE, WAIT_SECONDS
from testing.machines import Machines, replicas_of, small_site
from testing.platformreplica import CrashPoint, Ending, Run
from tests.test_machine_weights import wait_offered

REPLICAS: Final = 10
RESTART_SECONDS: Final = 4.0
CRASHING_PART: Final = "bad0"
FIRST_PARTS: Final = ("a1", "a2", "a3")
SECOND_PARTS: Final = ("b1", "b2", "b3")
SOUND_INTERVAL_SECONDS: Final = 0.05
CALM_SECONDS: Final = 5.0
LOAD_SECONDS: Final = 15.0
# The requirement: later than CONTACT_SECONDS after the fifth crash, at most LATE_ARRIVALS requests
# with the part reach replicas; from twice that time on, others are served as before.
CONTACT_SECONDS: Final = 3.0
CRASHES_TO_LEARN: Final = 5
LATE_ARRIVALS: Final = 3
SERVED_SHARE: Final = 0.99

_numbers = itertools.count(0x1000)
# In turn: a part that is always beside the crashing one cannot be told apart from it.
_first_parts = itertools.cycle(FIRST_PARTS)


def prompt(*parts: str) -> list[tuple[str, str]]:
    """Return the headers of a prompt of these parts and a last one of its own."""
    own = f"{next(_numbers):x}"
    listed = ",".join(f"{part}:{random.randrange(1, 900)}" for part in (*parts, own))
    count = f"{random.randrange(1, 2000)},80"
    return [(names.PROMPT_PARTS, listed), (names.TOKEN_COUNT, count)]


def crashing_prompt(place: int) -> list[tuple[str, str]]:
    """Return the headers of a prompt that has the crashing part at a place, counted from 1."""
    match place:
        case 1:
            return prompt(CRASHING_PART, random.choice(SECOND_PARTS))
        case 2:
            return prompt(next(_first_parts), CRASHING_PART)
        case _:
            return prompt(f"c{next(_numbers):x}", random.choice(SECOND_PARTS), CRASHING_PART)


def sound_prompt() -> list[tuple[str, str]]:
    """Return the headers of a prompt that has all parts of other prompts but the crashing one."""
    return prompt(random.choice(FIRST_PARTS), random.choice(SECOND_PARTS))


def has_crashing_part(headers: dict[str, str]) -> bool:
    """Return whether a prompt has the crashing part, except as its last part."""
    parts = [item.partition(":")[0] for item in headers.get(names.PROMPT_PARTS, "").split(",")]
    return CRASHING_PART in [part.lower().lstrip("0") for part in parts[:-1]]


@dataclass
class Sent:
    """A sound request that was sent, and its reply."""

    at: float  # trio's clock
    reply: Reply

    @property
    def is_served(self) -> bool:
        """Whether it was answered completely."""
        return self.reply.status == 200 and self.reply.whole


@dataclass
class Load:
    """The requests of one run."""

    storm_at: float = 0.0  # when the first request with the crashing part was sent
    sound: list[Sent] = field(default_factory=list)
    crashing_replies: list[Reply] = field(default_factory=list)

    def served_share(self, since: float, until: float = float("inf")) -> float:
        """Return the share of the sound requests sent in a time that were served."""
        sent = [request for request in self.sound if since <= request.at < until]
        assert len(sent) >= 20
        return sum(request.is_served for request in sent) / len(sent)


@asynccontextmanager
async def crashing_site(
    directory: Path,
    ending: Ending = Ending.RESET,
    crash_point: CrashPoint = CrashPoint.NOTHING,
    *,
    daemons: bool = False,
) -> AsyncIterator[Machines]:
    """Run two entries before ten replicas that crash when they begin CRASHING_PART."""
    async with small_site(directory, models=REPLICAS, plain=0, entries=2, daemons=daemons) as site:
        for replica in replicas_of(site, MODEL_SERVICE):
            replica.ending = ending
            replica.crash_point = crash_point
            replica.crashes_on = has_crashing_part
        site.nursery.start_soon(site.revive_replicas, MODEL_SERVICE, RESTART_SECONDS)
        yield site


def crashing_runs(site: Machines) -> list[Run]:
    """Return the runs under which replicas crashed, in order."""
    runs = [run for listed in site.replicas.values() for run in listed.replica.runs]
    return sorted(filter(lambda r: has_crashing_part(r.headers), runs), key=lambda r: r.began_at)


async def run_load(
    site: Machines, load: Load, place: int, interval: float, seconds: float = LOAD_SECONDS
) -> None:
    """Send sound requests to both entries, and after a calm also requests with the part."""

    async def send_sound(number: int) -> None:
        at = trio.current_time()
        caller = site.callers(f"entry{number % 2}")
        reply = await ask(caller, "/stream/x", b"sound %d" % number, headers=sound_prompt())
        load.sound.append(Sent(at, reply))

    async def send_crashing(number: int) -> None:
        caller = site.callers(f"entry{number % 2}")
        body = b"crashing %d" % number
        headers = crashing_prompt(place)
        load.crashing_replies.append(await ask(caller, "/stream/x", body, headers=headers))

    async with trio.open_nursery() as calls:
        with trio.move_on_after(CALM_SECONDS + seconds):
            async with trio.open_nursery() as senders:

                async def repeat_sound() -> None:
                    for number in itertools.count():
                        calls.start_soon(send_sound, number)
                        await trio.sleep(SOUND_INTERVAL_SECONDS)

                senders.start_soon(repeat_sound)
                await trio.sleep(CALM_SECONDS)
                load.storm_at = trio.current_time()
                for number in itertools.count():
                    calls.start_soon(send_crashing, number)
                    await trio.sleep(interval)


def check_contained(site: Machines, load: Load) -> None:
    """Check that the part reached few replicas and that others were served as before."""
    runs = crashing_runs(site)
    calm = load.served_share(0.0, load.storm_at)
    last = runs[min(len(runs), CRASHES_TO_LEARN) - 1].began_at
    late = sum(run.began_at > last + CONTACT_SECONDS for run in runs)
    served = load.served_share(last + 2 * CONTACT_SECONDS)
    print(f"{len(runs)} crashed; {late} late; served {calm:.3f} in calm, {served:.3f} then")
    assert calm >= SERVED_SHARE
    assert late <= LATE_ARRIVALS
    assert served >= SERVED_SHARE


@pytest.mark.parametrize("interval", [0.1, 0.4])
@pytest.mark.parametrize("place", [1, 2, 3])
async def test_a_prompt_part_that_crashes_replicas_reaches_few_and_others_are_served(
    tmp_path: Path, place: int, interval: float
) -> None:
    async with crashing_site(tmp_path) as site:
        load = Load()
        await run_load(site, load, place, interval)
        check_contained(site, load)


@pytest.mark.parametrize(
    ("ending", "crash_point"),
    [
        (Ending.RESET, CrashPoint.HEAD),
        (Ending.CLOSE, CrashPoint.EVENT),
        (Ending.CLOSE, CrashPoint.HALF_EVENT),
        (Ending.SILENCE, CrashPoint.NOTHING),
        (Ending.SILENCE, CrashPoint.EVENT),
    ],
)
async def test_a_prompt_part_is_found_however_the_answer_of_the_crashed_replica_ends(
    tmp_path: Path, ending: Ending, crash_point: CrashPoint
) -> None:
    async with crashing_site(tmp_path, ending, crash_point) as site:
        load = Load()
        await run_load(site, load, 2, 0.4)
        check_contained(site, load)


async def test_a_part_of_all_prompts_is_not_refused_while_replicas_end_of_themselves(
    tmp_path: Path,
) -> None:
    async with crashing_site(tmp_path) as site:
        replies: list[Reply] = []

        async def call(number: int) -> None:
            headers = prompt("a1", f"d{next(_numbers):x}")
            caller = site.callers(f"entry{number % 2}")
            replies.append(await ask(caller, "/stream/x", b"%d" % number, headers=headers))

        async def end_replicas() -> None:
            while True:
                await trio.sleep(1.2)
                running = [r for r in replicas_of(site, MODEL_SERVICE) if r.active]
                if running:
                    await random.choice(running).end()

        for replica in replicas_of(site, MODEL_SERVICE):
            replica.event_seconds = 0.05
        async with trio.open_nursery() as calls:
            with trio.move_on_after(LOAD_SECONDS):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(end_replicas)
                    for number in itertools.count():
                        calls.start_soon(call, number)
                        await trio.sleep(SOUND_INTERVAL_SECONDS)
    codes = (ENDS_REPLICAS.code.encode(), WITHDRAWN.code.encode())
    served = sum(reply.status == 200 and reply.whole for reply in replies)
    print(served, "of", len(replies), "served")
    assert not [reply for reply in replies if any(code in reply.body for code in codes)]
    assert served >= SERVED_SHARE * len(replies)


async def bar_crashing_part(site: Machines, entry: str) -> None:
    """Send requests with the crashing part to an entry until one is refused because of it."""
    with trio.fail_after(WAIT_SECONDS):
        while not is_barred(await ask_crashing(site, entry)):
            await trio.sleep(0.1)


async def ask_crashing(site: Machines, entry: str) -> Reply:
    """Send a request with the crashing part to an entry."""
    body = b"crashing %d" % next(_numbers)
    return await ask(site.callers(entry), "/stream/x", body, headers=crashing_prompt(2))


def is_barred(reply: Reply) -> bool:
    """Return whether a request was refused because replicas ended under others like it."""
    return ENDS_REPLICAS.code.encode() in reply.body


async def test_two_parts_that_crash_replicas_at_once_are_both_found(tmp_path: Path) -> None:
    other_part = "bad1"
    async with crashing_site(tmp_path) as site:
        for replica in replicas_of(site, MODEL_SERVICE):
            replica.crashes_on = lambda headers: (
                has_crashing_part(headers) or f",{other_part}:" in headers[names.PROMPT_PARTS]
            )
        last: dict[str, Reply] = {}

        async def call(number: int) -> None:
            part = (CRASHING_PART, other_part)[number % 2]
            headers = prompt(random.choice(FIRST_PARTS), part)
            body, caller = b"%d" % number, site.callers(f"entry{number // 2 % 2}")
            last[part] = await ask(caller, "/stream/x", body, headers=headers)

        async with trio.open_nursery() as calls:
            for number in range(60):
                calls.start_soon(call, number)
                await trio.sleep(0.2)
        runs = [run for listed in site.replicas.values() for run in listed.replica.runs]
        print(len(runs), "crashed")
        assert all(is_barred(reply) for reply in last.values())
        assert len(runs) <= 2 * CRASHES_TO_LEARN


async def test_requests_that_wait_at_replicas_are_withdrawn_once_a_part_is_barred(
    tmp_path: Path,
) -> None:
    async with small_site(tmp_path, models=8, plain=0) as site:
        for replica in replicas_of(site, MODEL_SERVICE):
            replica.crashes_on = has_crashing_part
            replica.wait_seconds = 1.5
        replies: list[Reply] = []

        async def call() -> None:
            body = b"crashing %d" % next(_numbers)
            caller = site.callers("entry0")
            replies.append(await ask(caller, "/strict/x", body, headers=crashing_prompt(2)))

        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(call)
                await trio.sleep(0.15)
        assert len(crashing_runs(site)) <= CRASHES_TO_LEARN
        assert [reply.status for reply in replies] == [502] * 8, replies
        withdrawn = [reply for reply in replies if WITHDRAWN.code.encode() in reply.body]
        assert len(withdrawn) == 8 - len(crashing_runs(site))


async def test_entries_that_restart_after_all_were_killed_refuse_a_barred_part(
    tmp_path: Path,
) -> None:
    async with crashing_site(tmp_path, daemons=True) as site:
        await wait_offered(site)
        await bar_crashing_part(site, "entry0")
        before = len(crashing_runs(site))
        await trio.sleep(0.5)
        for name in ("entry0", "entry1"):
            site.signal(name, signal.SIGKILL)
            await site.wait_exit(name)
        for name in ("entry0", "entry1"):
            site.start(name)
        await site.wait_ready("entry0", "entry1")
        for number in range(4):
            assert is_barred(await ask_crashing(site, f"entry{number % 2}"))
        assert len(crashing_runs(site)) == before


async def test_an_entry_that_starts_later_refuses_a_barred_part_at_its_first_request(
    tmp_path: Path,
) -> None:
    async with crashing_site(tmp_path) as site:
        site.signal("entry1", signal.SIGKILL)
        await site.wait_exit("entry1")
        await bar_crashing_part(site, "entry0")
        before = len(crashing_runs(site))
        site.start("entry1")
        await site.wait_ready("entry1")
        assert is_barred(await ask_crashing(site, "entry1"))
        assert len(crashing_runs(site)) == before


async def test_an_entry_that_was_frozen_refuses_a_barred_part_as_soon_as_it_goes_on(
    tmp_path: Path,
) -> None:
    async with crashing_site(tmp_path) as site:
        site.signal("entry1", signal.SIGSTOP)
        await bar_crashing_part(site, "entry0")
        await trio.sleep(2.0)
        before = len(crashing_runs(site))
        replies: list[Reply] = []

        async def call() -> None:
            replies.append(await ask_crashing(site, "entry1"))

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(call)
            await trio.sleep(0.1)
            site.signal("entry1", signal.SIGCONT)
        assert all(is_barred(reply) for reply in replies), replies
        assert len(crashing_runs(site)) == before


async def test_a_barred_part_is_refused_in_each_spelling_and_served_as_a_last_part(
    tmp_path: Path,
) -> None:
    async with crashing_site(tmp_path) as site:
        await bar_crashing_part(site, "entry0")
        before = len(crashing_runs(site))
        spelled = CRASHING_PART.upper()
        for parts in (f"{spelled}:1,1:2", f"00{spelled}:7,1:2", f"7:1, {CRASHING_PART} :9 ,1:2"):
            headers = [(names.PROMPT_PARTS, parts)]
            assert is_barred(await ask(site.callers("entry0"), "/stream/x", headers=headers))
        in_two_headers = [(names.PROMPT_PARTS, CRASHING_PART + ":1"), (names.PROMPT_PARTS, "7:1")]
        assert is_barred(await ask(site.callers("entry0"), "/stream/x", headers=in_two_headers))
        as_last = [(names.PROMPT_PARTS, f"a1:5,{CRASHING_PART}:9")]
        reply = await ask(site.callers("entry0"), "/stream/x", headers=as_last)
        assert reply.status == 200 and reply.whole
        assert len(crashing_runs(site)) == before


async def test_explain_leads_from_a_refused_request_to_the_part_and_the_replicas_it_ended(
    tmp_path: Path,
) -> None:
    async with crashing_site(tmp_path) as site:
        await bar_crashing_part(site, "entry0")
        reply = await ask_crashing(site, "entry0")
        with trio.fail_after(WAIT_SECONDS):
            while not any(line.get("request") == reply.id for line in site.log("entry0")):
                await trio.sleep(0.05)
        ended = {
            line["replica"]
            for line in site.log("entry0")
            if CRASHING_PART in line.get("prompt_parts", {}).values() and "replica" in line
        }
    assert len(ended) >= 3
    trace = read_trace(reply.id, [tmp_path / "entry0.log", tmp_path / "entry1.log"])
    assert CRASHING_PART in trace.lines[-1]["prompt_parts"].values()
    explained = "\n".join(map(describe_line, [*trace.lines, *trace.related]))
    assert "cause judged" in explained and "standing=barred" in explained
    assert all(replica in explained for replica in ended), explained
