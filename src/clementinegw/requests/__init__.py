"""Handles requests at an entry, as a pipeline of filters.

A request passes them in this order: `http` parses it, `rules` resolves its
settings, `admit` and `limit` admit or refuse it, claims and suspects are
checked, `route` chooses a worker, `send` sends an attempt, and `retry` decides
whether to make another. `pipeline` runs the filters; `service` runs the
pipeline in the daemon.
"""

from clementinegw.requests import admit as admit
from clementinegw.requests import fleet as fleet
from clementinegw.requests import http as http
from clementinegw.requests import limit as limit
from clementinegw.requests import pipeline as pipeline
from clementinegw.requests import prefix as prefix
from clementinegw.requests import retry as retry
from clementinegw.requests import route as route
from clementinegw.requests import rules as rules
from clementinegw.requests import send as send
from clementinegw.requests import service as service
from clementinegw.requests import shares as shares
from clementinegw.requests import subset as subset
from clementinegw.requests import types as types
