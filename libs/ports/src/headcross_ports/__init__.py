"""The interfaces between headcross and the platform it runs on.

An adapter implements these protocols for one platform. It translates names, formats and calls and
takes no decisions. The other libraries depend on these types only.
"""
