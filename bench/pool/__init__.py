"""A model of a replica pool under load, in virtual time, around the real decisions of an entry."""
