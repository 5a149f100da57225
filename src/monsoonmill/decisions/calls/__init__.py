"""Incoming calls, and the execution of attempts at the own backend server."""
