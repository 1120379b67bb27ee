"""Maintainers' scripts; not part of the product."""
