"""Holds the clients of the platform's log, membership and store."""
