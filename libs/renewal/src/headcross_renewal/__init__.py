"""Updates of a daemon's replica to the weight versions that operators name."""
