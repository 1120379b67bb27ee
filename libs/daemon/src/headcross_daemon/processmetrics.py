"""Collects the metric samples that both roles have in common."""

from headcross_native.configservice import KEYS

from headcross_daemon.metrics import sample
from headcross_daemon.process import Process


def process_samples(process: Process) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    """Return the samples of the parts that both roles share."""
    samples: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {
        sample("healthy"): float(not process.unhealthy_reason),
        sample("config_reads_total"): process.config_service.reads,
        sample("control_sent_bytes_total"): process.node.sent_bytes,
        sample("control_received_bytes_total"): process.node.received_bytes,
        sample("peer_messages_malformed_total"): process.node.malformed,
        sample("pauses_total"): process.pauses.pauses,
    }
    for key in KEYS:
        held = process.documents.held(key)
        samples[sample("document_revision", document=key)] = held.accepted_revision
        samples[sample("document_rejected", document=key)] = float(bool(held.rejection))
        samples[sample("document_age_seconds", document=key)] = held.age()
    for kind, count in process.journal.counts.items():
        samples[sample("decisions_total", kind=kind)] = count
    for event, count in process.documents.counts.items():
        samples[sample("document_events_total", event=event)] = count
    return samples
