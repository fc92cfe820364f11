"""Speak HTTP/1.1 with callers and endpoints over tasks that own their sockets."""
