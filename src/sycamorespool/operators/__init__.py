"""Provides the operators' API of an entry and its client."""
