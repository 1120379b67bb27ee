"""Tests the validation of the settings of a process on the machines, and its exit codes."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from headcross_base.errors import Failure, Ok
from headcross_daemon.machinesettings import read_machine_settings

from deploy.start import SETTINGS_VARIABLE
from testing.machines import ROOT

GOOD = """
host = "entry-1"
ip = "127.0.0.1"
zone = "z"
region = "r"
role = "entry"
[listen]
callers = "127.0.0.1:7000"
readiness = "127.0.0.1:7001"
peers = "127.0.0.1:7002"
[peers]
control_port = 7002
swarm_port = 7003
[store]
address = "127.0.0.1:7010"
[limits]
memory_mb = 200
descriptors = 1024
link_mbits = 3.8
"""
BAD = {
    "no toml": ("host = ", "Invalid value"),
    "unknown role": (GOOD.replace('"entry"', '"king"'), "role"),
    "unknown key": (GOOD + "[more]\n", "more"),
    "host name": (GOOD.replace("127.0.0.1:7010", "store:7010"), "store.address"),
    "no callers": (GOOD.replace('callers = "127.0.0.1:7000"', ""), "listen.callers"),
    "upstream without replica": (GOOD.replace('"entry"', '"upstream"'), "listen.swarm"),
    "port out of range": (GOOD.replace("swarm_port = 7003", "swarm_port = 70030"), "swarm_port"),
    "no limits": (GOOD.replace("memory_mb = 200", ""), "memory_mb"),
    "bad seed": (GOOD.replace("[peers]", '[peers]\nseeds = ["x"]'), "peers.seeds[0]"),
}


def test_valid_settings_are_read(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(GOOD)
    outcome = read_machine_settings(path)
    assert isinstance(outcome, Ok)
    assert outcome.value.bounds.weights_seconds == 8.0


@pytest.mark.parametrize("case", BAD)
def test_invalid_settings_are_rejected_with_field_and_reason(tmp_path: Path, case: str) -> None:
    text, field = BAD[case]
    path = tmp_path / "settings.toml"
    path.write_text(text)
    outcome = read_machine_settings(path)
    assert isinstance(outcome, Failure)
    assert str(path) in outcome.detail and field in outcome.detail


def test_a_process_with_invalid_settings_exits_with_code_2(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(BAD["unknown role"][0])
    process = subprocess.run(
        [sys.executable, str(ROOT / "deploy" / "start.py")],
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert process.returncode == 2
    assert "role" in process.stderr


def test_a_process_whose_address_is_in_use_exits_with_code_3(tmp_path: Path) -> None:
    import socket

    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        path = tmp_path / "settings.toml"
        text = GOOD.replace("127.0.0.1:7000", f"127.0.0.1:{port}")
        path.write_text(text.replace('peers = "127.0.0.1:7002"', 'peers = "127.0.0.1:0"'))
        process = subprocess.run(
            [sys.executable, str(ROOT / "deploy" / "start.py")],
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
    assert process.returncode == 3
    assert "cannot listen" in process.stdout
