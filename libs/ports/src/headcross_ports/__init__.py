"""What headcross needs from the platform it runs on, in its own words.

A platform is met through an adapter that implements these protocols. The adapter translates names,
formats and calls; it takes no decision. Everything else in the product knows only these types.
"""
