"""Tests that the fleet file is accepted or rejected as a whole, with one error."""

import pytest
from headcross_base.errors import Failure, Ok
from headcross_fleet.fleetfile import parse_fleet_file
from hypothesis import given
from hypothesis import strategies as st

GOOD = """
[models.m.versions.v1]
digest = "{d}"
weights = "m-v1"
[adapters.a]
model = "m"
[adapters.a.versions.x]
digest = "{d}"
weights = "a-x"
[pools.p]
model = "m"
version = "v1"
replicas = 3
zones = ["z1", "z2"]
[services.s]
[teams.t]
requests_per_second = 5
[[routes]]
path = "/v1"
pool = "p"
teams = ["t"]
""".format(d="0" * 64)


def test_a_good_file_is_accepted() -> None:
    outcome = parse_fleet_file(GOOD.encode())
    assert isinstance(outcome, Ok)
    assert outcome.value.pools["p"].max_unavailable == 1


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("replicas = 3", "replicas = 0", "pools.p.replicas: "),
        ("replicas = 3", "replicas = 3\nspeed = 1", "pools.p: "),
        ("replicas = 3", 'replicas = "3"', "pools.p.replicas: "),
        ("replicas = 3", "replicas = 3\nmax_unavailable = 4", "pools.p.max_unavailable: "),
        ("replicas = 3", "replicas = 3\norigin_copies = 4", "pools.p.origin_copies: "),
        ('version = "v1"', 'version = "v2"', "pools.p.version: "),
        ('pool = "p"', 'pool = "q"', "routes[0].pool: "),
        ('pool = "p"', 'pool = "p"\nservice = "s"', "routes[0]: "),
        ('teams = ["t"]', 'teams = ["u"]', "routes[0].teams: "),
        ('zones = ["z1", "z2"]', 'zones = ["z1", "z1"]', "pools.p.zones: "),
        ('[adapters.a]\nmodel = "m"', '[adapters.a]\nmodel = "n"', "adapters.a.model: "),
        ("[services.s]", "[services.p]", "services.p: "),
        ("[services.s]", "[servicez.s]", "servicez: "),
        ("[services.s]", "[services.s", "file: "),
        ("0000000000", "000000000", "models.m.versions"),
        ("[[routes]]", f"# {'x' * 1024 * 1024}\n[[routes]]", "file: "),
    ],
)
def test_a_bad_file_is_rejected_whole_with_field_and_reason(
    old: str, new: str, field: str
) -> None:
    assert old in GOOD
    outcome = parse_fleet_file(GOOD.replace(old, new).encode())
    assert isinstance(outcome, Failure)
    assert outcome.detail.startswith(field), outcome.detail


@given(st.binary(max_size=300))
def test_any_bytes_are_accepted_or_rejected_and_never_raise(body: bytes) -> None:
    assert isinstance(parse_fleet_file(body), Ok | Failure)
