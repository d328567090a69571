"""Requests straight from the entry to backend servers, without agents."""
