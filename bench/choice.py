"""Measures how the cost of selecting a chunk grows with the number of missing chunks.

It runs no transfer.

python -m bench.choice
"""

import json
import random
import time

from headcross_weights.chunkchoice import choose_chunk, offered_chunks
from headcross_weights.chunkstore import StoredArtifact
from headcross_weights.manifest import Manifest, ManifestFile
from headcross_weights.neighbourview import NeighbourView
from headcross_weights.pace import LARGE_WEIGHTS

SIZES = (128, 1024, 8345)
NEIGHBOURS = 12
REPEATS = 200


def measure(chunks: int) -> dict[str, float]:
    """Return the milliseconds of one selection and of one search for chunks that nobody offers."""
    digests = [f"{index:064x}" for index in range(chunks)]
    manifest = Manifest(1, 1, [ManifestFile("f", chunks, digests)])
    stored = StoredArtifact("d", manifest, b"")
    views = {f"h{n}": NeighbourView(f"h{n}", lambda message: True) for n in range(NEIGHBOURS)}
    for view in views.values():
        view.has = set(random.sample(range(chunks), chunks // 2))
    started = time.perf_counter()
    for _ in range(REPEATS):
        choose_chunk(stored, views, set(), LARGE_WEIGHTS.requests_in_flight)
    selected = time.perf_counter()
    sorted(stored.missing - offered_chunks(views))
    searched = time.perf_counter()
    return {
        "chunks": chunks,
        "choose_ms": round((selected - started) / REPEATS * 1000, 4),
        "look_ms": round((searched - selected) * 1000, 3),
    }


if __name__ == "__main__":
    for size in SIZES:
        print(json.dumps(measure(size)))
