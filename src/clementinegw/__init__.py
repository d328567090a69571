"""A library for weight distribution and for request routing under bursts."""
