"""Clients of the platform's log, membership and store."""
