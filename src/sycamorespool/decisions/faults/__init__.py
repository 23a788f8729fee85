"""Decides what ends or degrades servers, and what follows; no I/O."""
