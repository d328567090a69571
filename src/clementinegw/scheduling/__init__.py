"""Decisions under load, without input and output.

Who goes first, who has to wait, who is refused and where a request may go. Each
module names the load pattern that it answers. Times are monotonic seconds
unless a name says otherwise.
"""
