"""The operators' settings: tree, changes, fold of the log, distribution.

A change passes through these modules in order: `publisher` appends it to the
log, `cursor` reads it from the log, `fold` accepts or rejects it, `follower`
distributes it to every process (between peers through `exchange`), and `tree`
looks up values.
"""

from clementinegw.settings import changes as changes
from clementinegw.settings import fold as fold
from clementinegw.settings import follower as follower
from clementinegw.settings import knobs as knobs
from clementinegw.settings import model as model
from clementinegw.settings import publisher as publisher
from clementinegw.settings import records as records
from clementinegw.settings import results as results
from clementinegw.settings import tree as tree
