"""The demo: a whole deployment that rolls out a version under live load."""
