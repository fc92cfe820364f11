"""Translate between the users' platform and oleanderhitch.

Nothing outside this package knows the platform's names.
"""
