"""A demo of a small deployment, and helpers that run it for tests."""
