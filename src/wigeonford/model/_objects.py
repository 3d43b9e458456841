"""The complete set of named objects, and its checks."""

from collections.abc import Iterable, Iterator, Mapping
import dataclasses
from dataclasses import dataclass
import ipaddress
from typing import Any, cast, TypeVar

from wigeonford.errors import Code, Fault, SettingsError
from wigeonford.model._block_pages import check_pages
from wigeonford.model._kinds import (
    AvailabilityZone,
    ClientAccount,
    ClientBlock,
    ClientBlockPage,
    EntryVM,
    KINDS,
    Link,
    Region,
    Route,
    Service,
    Share,
)
from wigeonford.settings import Decoder

T = TypeVar("T")

ObjectKey = tuple[str, str]
"""The kind and the name of an object."""


@dataclass(frozen=True, slots=True)
class ObjectSet:
    """Hold every named object by kind and name."""

    objects: Mapping[ObjectKey, Any]

    def of_kind(self, kind: str) -> Iterator[Any]:
        """Yield the objects of one kind."""
        return (
            item
            for (item_kind, _), item in self.objects.items()
            if item_kind == kind
        )

    def _by_name(self, kind: str, cls: type[T]) -> dict[str, T]:
        return {
            name: cast(T, item)
            for (item_kind, name), item in self.objects.items()
            if item_kind == kind
        }

    @property
    def regions(self) -> dict[str, Region]:
        """Return the regions by name."""
        return self._by_name("regions", Region)

    @property
    def availability_zones(self) -> dict[str, AvailabilityZone]:
        """Return the availability zones by name."""
        return self._by_name("availability_zones", AvailabilityZone)

    @property
    def entry_vms(self) -> dict[str, EntryVM]:
        """Return the entry VMs by name."""
        return self._by_name("entry_vms", EntryVM)

    @property
    def client_blocks(self) -> dict[str, ClientBlock]:
        """Return the client blocks by name."""
        return self._by_name("client_blocks", ClientBlock)

    @property
    def client_block_pages(self) -> dict[str, ClientBlockPage]:
        """Return the pages of client blocks by name."""
        return self._by_name("client_block_pages", ClientBlockPage)

    @property
    def services(self) -> dict[str, Service]:
        """Return the services by name."""
        return self._by_name("services", Service)

    @property
    def routes(self) -> dict[str, Route]:
        """Return the routes by name."""
        return self._by_name("routes", Route)

    @property
    def client_accounts(self) -> dict[str, ClientAccount]:
        """Return the client accounts by name."""
        return self._by_name("client_accounts", ClientAccount)

    @property
    def shares(self) -> dict[str, Share]:
        """Return the shares by name."""
        return self._by_name("shares", Share)

    @property
    def links(self) -> dict[str, Link]:
        """Return the links between regions by name."""
        return self._by_name("links", Link)


EMPTY = ObjectSet({})


def decode_object(
    kind: str, data: object, path: str
) -> tuple[Any | None, tuple[Fault, ...]]:
    """Return one object of `kind`, or None, and the faults found."""
    cls = KINDS.get(kind)
    if cls is None:
        known = ", ".join(KINDS)
        return None, (Fault(path, repr(kind), f"one of: {known}"),)
    decoder = Decoder()
    item = decoder.decode_record(cls, data, path)
    return item, tuple(decoder.faults)


def decode_set(document: object) -> ObjectSet:
    """Return a document's set of objects; raise `SettingsError`."""
    faults: list[Fault] = []
    objects: dict[ObjectKey, Any] = {}
    if not isinstance(document, Mapping):
        fault = Fault("objects", repr(document)[:60], "an object")
        raise SettingsError(Code.OBJECTS_INVALID, (fault,))
    for kind, rows in document.items():
        if not isinstance(rows, list):
            faults.append(Fault(f"objects.{kind}", repr(rows), "a list"))
            continue
        for index, row in enumerate(rows):
            path = f"objects.{kind}[{index}]"
            item, item_faults = decode_object(kind, row, path)
            faults.extend(item_faults)
            if item is None:
                continue
            if (kind, item.name) in objects:
                faults.append(
                    Fault(f"{path}.name", item.name, "used only once")
                )
            objects[kind, item.name] = item
    if faults:
        raise SettingsError(Code.OBJECTS_INVALID, tuple(faults))
    result = ObjectSet(objects)
    require_valid(result)
    return result


def require_valid(objects: ObjectSet) -> None:
    """Raise `SettingsError` with all faults unless the set is consistent."""
    faults = tuple(check_set(objects))
    if faults:
        raise SettingsError(Code.OBJECTS_INVALID, faults)


def check_set(objects: ObjectSet) -> Iterator[Fault]:
    """Yield the faults of references and of objects that conflict."""
    for (kind, name), item in objects.objects.items():
        yield from _check_references(objects, f"{kind}.{name}", item)
    yield from _check_blocks(objects.client_blocks.values())
    yield from check_pages(objects.client_block_pages.values())
    yield from _check_routes(objects.routes.values())
    yield from _check_shares(objects.shares.values())


def _check_references(
    objects: ObjectSet, path: str, item: Any
) -> Iterator[Fault]:
    for field in dataclasses.fields(item):
        referenced_kind = field.metadata.get("reference")
        if referenced_kind is None:
            continue
        value = getattr(item, field.name)
        names = value if isinstance(value, tuple) else (value,)
        for name in names:
            if (referenced_kind, name) not in objects.objects:
                yield Fault(
                    f"{path}.{field.name}",
                    repr(name),
                    f"the name of an object in {referenced_kind}",
                )


def _check_blocks(blocks: Iterable[ClientBlock]) -> Iterator[Fault]:
    seen: dict[Any, str] = {}
    for block in blocks:
        path = f"client_blocks.{block.name}.prefix"
        try:
            network = ipaddress.ip_network(block.prefix)
        except ValueError:
            yield Fault(path, repr(block.prefix), "an address prefix")
            continue
        if network in seen:
            yield Fault(path, repr(block.prefix), "in only one block")
        seen[network] = block.name


def _check_routes(routes: Iterable[Route]) -> Iterator[Fault]:
    seen: set[tuple[str, str]] = set()
    for route in routes:
        path = f"routes.{route.name}"
        if not route.path_prefix.startswith("/"):
            yield Fault(
                f"{path}.path_prefix",
                repr(route.path_prefix),
                "a path that starts with /",
            )
        for method in route.methods:
            if (route.path_prefix, method) in seen:
                yield Fault(
                    f"{path}.methods",
                    repr(method),
                    "on only one route of this path prefix",
                )
            seen.add((route.path_prefix, method))


def _check_shares(shares: Iterable[Share]) -> Iterator[Fault]:
    services: set[str] = set()
    for share in shares:
        path = f"shares.{share.name}"
        if share.part > share.cap:
            yield Fault(
                f"{path}.part", repr(share.part), f"at most {share.cap:g}"
            )
        if share.service in services:
            yield Fault(
                f"{path}.service",
                repr(share.service),
                "in only one share",
            )
        services.add(share.service)
