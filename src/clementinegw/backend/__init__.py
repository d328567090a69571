"""Clients of backend servers: model engines and plain services."""
