"""Ids, messages and generated text that live for one request to a stand-in."""
