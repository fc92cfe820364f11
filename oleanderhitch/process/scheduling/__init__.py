"""Queue the requests of a pool and grant them its endpoints' slots.

Entry hosts of process/roles share one queue per pool, which runs at the pool's owner
(process/routing). Entry hosts of process/site use process/placement instead, where each
one selects endpoints by itself.
"""
