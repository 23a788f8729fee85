"""Runs requests by attempts at servers and relays the answers.

``hosted`` uses all of it, ``entry`` the relay and the count of its events.
"""
