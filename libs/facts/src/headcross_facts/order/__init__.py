"""The order of published facts, decided without clocks, input or output.

A store that is restored from an older copy loses its newest items and gives out their revisions
again. These rules keep what a process knows from going back to the copy, and apply what is
published after the restore:

* `positions`: a later epoch outranks an earlier one whatever the revisions, and an answer of an
  earlier epoch, or of none, is not used (see `judge_listing` and `judge_watch`);
* `topicitems`: the first listing of an epoch replaces all items of a topic, and changes apply only
  to items of their own epoch;
* `replicahistory`: a replica that leaves, has ended or is gone stays so, although the copy lists
  it as before.

Configurations and weight versions are numbered by the operators. Their numbers never decrease, so
an item of the copy has a lower number than the one known (see `supersedes`).
"""
