"""Constants of `testing.machines`: ports, names, a settings template and a configuration."""

from typing import Any, Final

from headcross_platform import names

CALLERS, READINESS, PEERS, SWARM, REPLICA, METRICS = 7000, 7001, 7002, 7003, 7004, 7005
STORE, ORIGIN = 7010, 7011
MODEL: Final = "m"
MODEL_SERVICE: Final = "lm"
PLAIN_SERVICE: Final = "api"
ORIGIN_SERVICE: Final = "files"
HOST: Final = "a.example"
KEY: Final = "key-1"
TEAM: Final = "team-1"
CHUNKS: Final = 16
CHUNK_BYTES: Final = 4 * 1024
WAIT_SECONDS: Final = 30.0

SETTINGS: Final = """
host = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "r-{zone}"
role = "{role}"
log_level = "info"
[zones]
{zones}
[listen]
{listen}
metrics = "{ip}:7005"
[peers]
seeds = {seeds}
control_port = 7002
swarm_port = 7003
{replica}
[store]
address = "{store}"
[limits]
memory_mb = {memory}
descriptors = 1024
link_mbits = {link}
[bounds]
weights_milliseconds = {weights_ms}
retry_ratio = 0.2
retry_slack = 100
stop_seconds = {stop}
"""


def default_configuration(version: int = 1) -> dict[str, Any]:
    """Return a configuration with one route of each kind."""

    def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": 4000,
            names.AIM_MS: 500,
            "max_attempts": 2,
            "priority": 1,
            "service": service,
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("stream", "/stream/", names.KIND_STREAM, MODEL_SERVICE, resumable=True),
            route("strict", "/strict/", names.KIND_STREAM, MODEL_SERVICE),
            route("again", "/again/", names.KIND_REPEATABLE, PLAIN_SERVICE),
            route("once", "/once/", names.KIND_ONCE, PLAIN_SERVICE, max_attempts=1),
            route("open", "/open/", names.KIND_REPEATABLE, PLAIN_SERVICE, public=True),
        ],
        "services": [
            {
                "name": MODEL_SERVICE,
                "max_conns": 100,
                "engine": {
                    "models": [{"name": MODEL}],
                    "chunks": CHUNKS,
                    "chunk_bytes": CHUNK_BYTES,
                },
            },
            {"name": PLAIN_SERVICE, "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 65536,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": TEAM, "api_keys": [KEY], "priority": 2}],
    }
