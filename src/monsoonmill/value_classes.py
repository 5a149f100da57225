"""Decorator of the ``attrs`` classes whose instances are created with each call.

``attrs.frozen`` sets each field through ``object.__setattr__``, since an assignment
fails. About a hundred fields are set for a call, which took a tenth of its processor
time. So the classes are frozen for type checkers and in the tests only, where an
assignment to a field is an error; at other times they differ from frozen ones only in
that an assignment is not detected.
"""

from functools import partial
from os import environ
from typing import TYPE_CHECKING

import attrs

CHECK_VARIABLE = "MONSOONMILL_CHECK_FROZEN"
"""Environment variable that, if it is not empty, makes the classes frozen."""

if TYPE_CHECKING or environ.get(CHECK_VARIABLE):
    frozen = attrs.frozen
else:
    frozen = partial(attrs.define, unsafe_hash=True)
