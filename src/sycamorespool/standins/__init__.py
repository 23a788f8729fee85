"""Stands in for the systems outside the entry, for tests and the demo."""
