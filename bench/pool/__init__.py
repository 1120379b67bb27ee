"""Simulates a replica pool under load in virtual time, with the product's own overload control."""
