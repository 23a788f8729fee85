"""Stand-ins for the systems outside the entry, for tests and the demo."""
