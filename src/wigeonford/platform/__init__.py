"""Run on the users' platform: translate its settings, calls and headers.

Nothing here decides or keeps state, and nothing outside knows the
platform's names.
"""
