"""Validates the operators' text and builds the configuration from it.

The text is JSON with comments and lists departments, services, their searchers, and floors, the
shares of work that are reserved for the lower ranks under overload. The result depends on the text
alone, so that every host accepts or refuses the same texts.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from pydantic import ValidationError

from .._ids import Address, DepartmentId, FailureDomainId, Revision, SearcherId, ServiceId
from .._ranks import Rank
from ._configuration import Configuration, Department, Searcher, Service
from ._graph import find_cycle
from ._jsonc import Document, Position, SyntaxProblem, parse_document
from ._schema import MAX_FLOOR_SUM, SUPPORTED_FORMAT, ConfigurationText, ServiceText

MAX_TEXT_BYTES = 1_000_000

Path = tuple[str | int, ...]
"""The keys and indices that lead to a value of the text."""


@dataclass(frozen=True, slots=True)
class Problem:
    """One reason to refuse a text, with its position in the text."""

    position: Position
    path: str
    message: str

    def __str__(self) -> str:
        place = f"line {self.position.line}, column {self.position.column}"
        return f"{place}: {self.path or 'text'}: {self.message}"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The result for a valid text: the configuration that may come into force."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Refused:
    """The result for an invalid text, which does not change the configuration in force."""

    problems: tuple[Problem, ...]


def accept_text(text: str, revision: Revision) -> Accepted | Refused:
    """Validate ``text`` and return its configuration, or every problem that was found."""
    if len(text.encode("utf-8", errors="replace")) > MAX_TEXT_BYTES:
        return Refused((Problem(Position(1, 1), "", f"longer than {MAX_TEXT_BYTES} bytes"),))
    document = parse_document(text)
    if isinstance(document, SyntaxProblem):
        return Refused((Problem(document.position, "", document.message),))
    try:
        validated = ConfigurationText.model_validate(document.value)
    except ValidationError as error:
        return Refused(tuple(_schema_problems(document, error)))
    problems = tuple(
        _problem(document, path, message) for path, message in _find_conflicts(validated)
    )
    if problems:
        return Refused(problems)
    return Accepted(_build(validated, revision))


def _schema_problems(document: Document, error: ValidationError) -> Iterator[Problem]:
    for item in error.errors(include_url=False, include_context=False):
        # Pydantic appends "[key]" to the location if the key itself is invalid.
        path = tuple(step for step in item["loc"] if step != "[key]")
        yield _problem(document, path, item["msg"])


def _problem(document: Document, path: Path, message: str) -> Problem:
    return Problem(document.locate(path), " > ".join(map(str, path)), message)


def _find_conflicts(validated: ConfigurationText) -> Iterator[tuple[Path, str]]:
    if validated.format != SUPPORTED_FORMAT:
        yield ("format",), f"this release reads format {SUPPORTED_FORMAT}"
    floor_sum = validated.floors.standard + validated.floors.bulk
    if floor_sum > MAX_FLOOR_SUM:
        yield ("floors",), f"the floors sum to {floor_sum:g}, more than {MAX_FLOOR_SUM:g}"
    for name, service in validated.services.items():
        yield from _find_service_conflicts(validated, name, service)
    yield from _find_duplicate_searchers(validated)
    dependencies = {
        ServiceId(name): tuple(map(ServiceId, service.depends_on))
        for name, service in validated.services.items()
    }
    cycle = find_cycle(dependencies)
    if cycle:
        shown = " -> ".join([*cycle, cycle[0]])
        yield ("services", cycle[0], "depends_on"), f"dependencies form a cycle: {shown}"


def _find_service_conflicts(
    validated: ConfigurationText, name: str, service: ServiceText
) -> Iterator[tuple[Path, str]]:
    if service.department not in validated.departments:
        yield ("services", name, "department"), f"no department {service.department!r}"
    for index, needed in enumerate(service.depends_on):
        if needed not in validated.services:
            path: Path = ("services", name, "depends_on", index)
            yield path, f"service {name!r} depends on {needed!r}, which is not in the text"
    if not service.searchers and not service.depends_on:
        yield ("services", name), "has neither searchers nor dependencies"


def _find_duplicate_searchers(validated: ConfigurationText) -> Iterator[tuple[Path, str]]:
    used_by: dict[str, str] = {}
    for name, service in validated.services.items():
        for index, searcher in enumerate(service.searchers):
            for key, value in (("id", searcher.id), ("address", searcher.address)):
                other = used_by.setdefault(f"{key} {value}", name)
                if other != name or _is_repeated(service, index, key, value):
                    path: Path = ("services", name, "searchers", index, key)
                    yield path, f"searcher {key} {value!r} is already used by {other!r}"


def _is_repeated(service: ServiceText, index: int, key: str, value: str) -> bool:
    """Return whether a searcher before ``index`` has the same ``value`` of the field ``key``."""
    return any(getattr(searcher, key) == value for searcher in service.searchers[:index])


def _build(validated: ConfigurationText, revision: Revision) -> Configuration:
    departments = {
        DepartmentId(name): Department(
            DepartmentId(name), department.leaving, department.leaves_on or ""
        )
        for name, department in validated.departments.items()
    }
    services = {
        ServiceId(name): _build_service(ServiceId(name), service)
        for name, service in validated.services.items()
    }
    floors = {
        Rank.URGENT: 0.0,
        Rank.STANDARD: validated.floors.standard,
        Rank.BULK: validated.floors.bulk,
    }
    return Configuration(revision, validated.deployment, floors, departments, services)


def _build_service(name: ServiceId, service: ServiceText) -> Service:
    searchers = tuple(
        Searcher(
            SearcherId(searcher.id),
            Address(searcher.address),
            FailureDomainId(searcher.failure_domain),
            searcher.slots,
            searcher.connections,
        )
        for searcher in service.searchers
    )
    depends_on = tuple(map(ServiceId, service.depends_on))
    return Service(name, DepartmentId(service.department), depends_on, searchers, service.bookings)
