"""HTTP/1.1 connections to callers and endpoints; each task owns its socket."""
