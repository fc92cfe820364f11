"""Select the endpoint with the lowest estimated cost for each request.

Each entry host of process/site selects endpoints by itself and adds the load that the
others report. The pool queues of process/scheduling don't use this package.
"""
