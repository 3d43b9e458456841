"""Messages between processes.

Each family has its own module, so that a daemon loads only the messages that
it uses.
"""
