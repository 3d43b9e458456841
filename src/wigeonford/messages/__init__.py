"""Messages between processes.

Each family is a module of its own, so that a daemon loads just those that
it speaks.
"""
