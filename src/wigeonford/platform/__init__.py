"""Adapter to the users' platform: its settings, HTTP APIs and headers.

This package only translates: it takes no routing decisions and keeps no
state, and no other package uses the platform's names.
"""
