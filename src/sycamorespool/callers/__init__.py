"""Provides the HTTP API for callers."""
