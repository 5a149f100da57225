"""The request that an operator asks to explain, given without an API key."""

from collections.abc import Mapping
from re import compile as compile_pattern

from attrs import evolve, fields_dict, frozen

from monsoonmill.errors import UserError
from monsoonmill.model import Config

METHOD = compile_pattern(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
"""A method is a token, RFC 9110, section 9.1."""


class QueryError(UserError):
    """A request to explain is incomplete or invalid."""

    def __init__(self, name: str, problem: str):
        super().__init__(f"{name}: {problem}")


@frozen
class RequestQuery:
    """A request as far as it decides where the request goes.

    Attributes
    ----------
    service, virtual_host : str
        What receives the request; one of them is empty.
    organisation : str
        Name of the calling organisation; empty if it is not given.
    """

    service: str = ""
    virtual_host: str = ""
    path: str = ""
    method: str = "GET"
    organisation: str = ""

    @classmethod
    def from_fields(cls, given: Mapping[str, str], config: Config) -> "RequestQuery":
        """Return the query with the given fields.

        Raises
        ------
        QueryError
            A field is unknown, missing or invalid, or the organisation is not in
            the configuration.
        """
        unknown = sorted(set(given) - set(fields_dict(cls)))
        if unknown:
            raise QueryError(unknown[0], "unknown field")
        query = cls(**given)
        # Names of hosts are compared in lower case, as those of arriving requests.
        query = evolve(query, virtual_host=query.virtual_host.lower())
        if bool(query.service) == bool(query.virtual_host):
            raise QueryError("service", "give either a service or a virtual host")
        if not query.path.startswith("/"):
            raise QueryError("path", "must start with /")
        if not METHOD.fullmatch(query.method):
            raise QueryError("method", "not a method of HTTP")
        is_known = query.organisation in config.organisations or not config.revision
        if query.organisation and not is_known:
            # The value is not repeated, since it may be an API key given by mistake.
            raise QueryError("organisation", "not in the configuration")
        return query
