"""Tests the command-line tool, and that the reference pages name every field."""

import json
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
import trio
from headcross_base.errors import Failure, Ok
from headcross_daemon import settings
from headcross_daemon.settings import read_settings
from headcross_fleet import fleetfile
from headcross_weights.manifest import list_chunks, parse_manifest

from testing.fleet import ADMIN
from testing.small import small_fleet

DOCS = Path(__file__).parent.parent / "docs" / "operators"


async def headcross(*arguments: str) -> tuple[int, str, str]:
    """Run the tool; return exit code, output and errors."""
    command = [sys.executable, "-m", "headcross_cli.main", *arguments]
    done = await trio.run_process(command, capture_stdout=True, capture_stderr=True, check=False)
    return done.returncode, done.stdout.decode(), done.stderr.decode()


async def test_check_accepts_and_rejects_with_exit_codes(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text("[services.s]\n")
    bad.write_text('[[routes]]\npath = "/"\npool = "p"\n')
    assert (await headcross("check", str(good)))[0] == 0
    code, _, errors = await headcross("check", str(bad))
    assert (code, errors) == (1, f"headcross: {bad}: routes[0].pool: no pool 'p'\n")
    assert (await headcross("check", str(tmp_path / "none")))[0] == 2
    assert (await headcross("dump", "127.0.0.1:1"))[0] == 3
    assert (await headcross("--help"))[1].startswith("headcross: the command-line tool")


async def test_manifest_describes_a_directory_so_that_chunks_can_be_verified(
    tmp_path: Path,
) -> None:
    weights = tmp_path / "w"
    (weights / "sub").mkdir(parents=True)
    (weights / "a").write_bytes(b"x" * 2500)
    (weights / "sub" / "b").write_bytes(b"")
    output = tmp_path / "manifest.json"
    code, printed, _ = await headcross(
        "manifest", str(weights), "--output", str(output), "--chunk-bytes", "1000"
    )
    manifest = parse_manifest(output.read_bytes(), printed.strip())
    assert code == 0
    assert isinstance(manifest, Ok)
    assert [(c.path, c.offset, c.size) for c in list_chunks(manifest.value)] == [
        ("a", 0, 1000),
        ("a", 1000, 1000),
        ("a", 2000, 500),
    ]


async def test_plan_and_watch_read_a_live_fleet(tmp_path: Path) -> None:
    async with small_fleet(tmp_path) as small:
        admin = str(small.fleet.nodes["entry0"].address(ADMIN))
        code, printed, _ = await headcross("watch", "--admin", admin, "--until-converged")
        progress = json.loads(printed.splitlines()[-1])
        assert (code, progress["converged"], progress["pools"][0]["serving"]) == (0, True, 3)
        small.text.version, small.text.replicas = "v2", 2
        path = tmp_path / "next.toml"
        path.write_text(str(small.text))
        code, printed, _ = await headcross("plan", str(path), "--admin", admin, "--json")
        changes = [json.loads(line) for line in printed.splitlines()]
        assert code == 0
        assert [change["kind"] for change in changes] == ["version", "upstream-leaves"]
        code, printed, _ = await headcross("dump", str(small.fleet.nodes["host0"].address(ADMIN)))
        assert json.loads(printed)["weights"]["artifacts"]


GOOD_SETTINGS = """
name = "e"
role = "entry"
region = "r"
zone = "z"
[listen]
control = "127.0.0.1:1"
http = "127.0.0.1:2"
admin = "127.0.0.1:3"
[platform]
config = ["127.0.0.1:4"]
"""


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('zone = "z"', "", "file: "),
        ('zone = "z"', 'zone = "z"\nspeed = 1', "file: "),
        ('"127.0.0.1:1"', '"localhost:1"', "listen.control: "),
        ('"127.0.0.1:1"', "1", "listen.control: "),
        ('role = "entry"', 'role = "upstream"', "listen.swarm: "),
        ('role = "entry"', 'role = "king"', "role: "),
        ('zone = "z"', 'zone = "z"\nlog_level = "loud"', "log_level: "),
        ('["127.0.0.1:4"]', "[]", "platform.config: "),
    ],
)
def test_the_failure_for_invalid_settings_names_file_and_field(
    tmp_path: Path, old: str, new: str, field: str
) -> None:
    path = tmp_path / "s.toml"
    path.write_text(GOOD_SETTINGS)
    assert isinstance(read_settings(path), Ok)
    path.write_text(GOOD_SETTINGS.replace(old, new))
    outcome = read_settings(path)
    assert isinstance(outcome, Failure)
    assert outcome.detail.startswith(f"{path}: {field}"), outcome.detail


def test_a_daemon_with_invalid_settings_exits_with_code_2(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text("name = 1\n")
    command = [sys.executable, "-m", "headcross_daemon.main", "--settings", str(path)]
    done = subprocess.run(command, capture_output=True, check=False)
    assert done.returncode == 2
    assert b"name: Expected `str`" in done.stderr


@pytest.mark.parametrize(
    ("page", "module"), [("settings.md", settings), ("fleetfile.md", fleetfile)]
)
def test_the_reference_page_names_every_field(page: str, module: object) -> None:
    text = (DOCS / page).read_text()
    for kind in vars(module).values():
        if not isinstance(kind, type) or not issubclass(kind, msgspec.Struct):
            continue
        for field in msgspec.structs.fields(kind):
            assert field.name in text, f"{kind.__name__}.{field.name}"


async def test_explain_traces_a_request_through_several_logs(tmp_path: Path) -> None:
    entry, other = tmp_path / "entry.log", tmp_path / "other.log"
    first: dict[str, object] = {
        "at": "T1",
        "host": "e",
        "message": "attempt",
        "request": "r1",
        "replica": "i-1",
    }
    last = {**first, "at": "T2", "message": "refused", "reason": "no-room"}
    del last["replica"]
    last |= {"verdict": "not-run", "detail": "no replica has room", "ms": 88.0}
    lines = [json.dumps(line) for line in (last, {**first, "request": "r2"}, "text", first)]
    entry.write_text("\n".join([*lines, '{"at": "T3", "reque']))
    other.write_text("a traceback\n")
    code, output, errors = await headcross("explain", "r1", str(entry), str(other))
    assert (code, errors) == (0, "headcross: 3 lines are no JSON objects\n")
    printed_lines = output.splitlines()
    assert printed_lines[0] == "T1  e  attempt  replica=i-1"
    assert printed_lines[1].startswith("T2  e  refused  reason=no-room verdict=not-run")
    assert printed_lines[2].startswith(
        "It did not run: no-room (no replica has room) after 88.0 ms."
    )
    assert len(printed_lines) == 3


async def test_explain_shows_for_a_barred_request_the_replicas_lost_while_running_it(
    tmp_path: Path,
) -> None:
    digest = {"request_digest": "d1"}
    lost = {"host": "e", "message": "attempt", "outcome": "may-have-run", **digest}
    lines = [
        {"at": "T3", "host": "e", "message": "refused", "request": "r3", "reason": "ends-replicas"}
        | digest,
        {"at": "T2", "request": "r2", "replica": "i-2", **lost},
        {"at": "T1", "request": "r1", "replica": "i-1", **lost},
        {"at": "T0", "request": "r0", "replica": "i-0", **lost, "request_digest": "d2"},
    ]
    log = tmp_path / "entry.log"
    log.write_text("\n".join(json.dumps(line) for line in lines))
    code, output, errors = await headcross("explain", "r3", str(log))
    assert (code, errors) == (0, "")
    printed_lines = output.splitlines()
    assert printed_lines[1] == "Other tries of the same request, and how it was judged:"
    assert ["replica=i-1" in printed_lines[2], "replica=i-2" in printed_lines[3]] == [True, True]
    assert "i-0" not in output


async def test_explain_shows_for_a_refused_request_the_backpressure_of_replicas(
    tmp_path: Path,
) -> None:
    def backpressure(at: str, message: str, replica: str, host: str = "e") -> dict[str, object]:
        return {"at": at, "host": host, "message": message, "replica": replica}

    lines = [
        {"at": "T5", "host": "e", "message": "refused", "request": "r1", "reason": "no-room"},
        backpressure("T1", "limit named", "i-1"),
        backpressure("T2", "limit named", "i-2"),
        backpressure("T3", "limit ended", "i-2"),
        backpressure("T3", "replica asks for rest", "i-3"),
        backpressure("T4", "replica leaves", "i-4", host="other"),
        backpressure("T6", "replica leaves", "i-5"),
    ]
    log = tmp_path / "entry.log"
    log.write_text("\n".join(json.dumps(line) for line in lines))
    code, output, errors = await headcross("explain", "r1", str(log))
    assert (code, errors) == (0, "")
    printed_lines = output.splitlines()
    assert printed_lines[1] == "What replicas had asked of that entry:"
    assert printed_lines[2:4] == [
        "T1  e  limit named  replica=i-1",
        "T3  e  replica asks for rest  replica=i-3",
    ]
    assert len(printed_lines) == 5


async def test_explain_shows_for_a_refused_request_which_replicas_were_kept_from_service(
    tmp_path: Path,
) -> None:
    def service(at: str, message: str, replica: str, host: str = "e") -> dict[str, object]:
        return {"at": at, "host": host, "message": message, "replica": replica}

    lines = [
        {"at": "T5", "host": "e", "message": "refused", "request": "r1", "reason": "no-replica"},
        service("T1", "replica kept from service", "i-1"),
        service("T2", "replica kept from service", "i-2"),
        service("T3", "replica not kept from service any more", "i-2"),
        service("T4", "replica kept from service", "i-3", host="other"),
        service("T6", "replica kept from service", "i-4"),
    ]
    log = tmp_path / "entry.log"
    log.write_text("\n".join(json.dumps(line) for line in lines))
    code, output, errors = await headcross("explain", "r1", str(log))
    assert (code, errors) == (0, "")
    printed_lines = output.splitlines()
    assert printed_lines[1] == "Replicas whose weights nothing vouched for there:"
    assert printed_lines[2] == "T1  e  replica kept from service  replica=i-1"
    assert len(printed_lines) == 4


async def test_explain_fails_if_no_log_has_the_request(tmp_path: Path) -> None:
    log = tmp_path / "entry.log"
    log.write_text("")
    code, output, errors = await headcross("explain", "r9", str(log))
    assert (code, output, errors) == (1, "", "headcross: no line about request 'r9'\n")
    assert (await headcross("explain", "r9", str(tmp_path / "none")))[0] == 2
