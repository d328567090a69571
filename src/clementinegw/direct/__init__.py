"""Direct path: the entry sends requests to backend servers without agents."""
