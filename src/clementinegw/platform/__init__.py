"""Clients of the platform: the log, the instance list, the weight store.

The operators' organisation runs the platform. It may be down, slow or lagging,
or lose an answer after the action took effect. No other dependency of the
system stores anything.
"""
