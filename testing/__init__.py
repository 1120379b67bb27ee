"""Fakes of the platform, fault-injecting links and harnesses for tests; not shipped."""
