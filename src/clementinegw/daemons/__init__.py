"""Assembles the entry and agent daemons from the library's services."""
