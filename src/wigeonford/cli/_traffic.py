"""The command that shows an entry VM's routing decisions."""

import argparse
from typing import Any, Final
from urllib.parse import quote

import msgspec

from wigeonford.cli._commands import cli_command, Result
from wigeonford.errors import ChangeRejected, Code, PeerError
from wigeonford.http import ConnectFailed, ExchangeFailed, fetch, Response
from wigeonford.settings import load, OperatorSettings, parse_address
from wigeonford.tls import client_context

EXPLAIN_TIMEOUT_S: Final = 5.0
_OK: Final = 200


def _explain_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("id", help="the request's x-request-id")
    parser.add_argument(
        "--entry",
        required=True,
        type=parse_address,
        metavar="HOST:PORT",
        help="the entry VM that received the request",
    )


@cli_command("explain", "show how a request was routed", _explain_arguments)
async def explain(args: argparse.Namespace) -> Result:
    """Show the routing decisions for one of the latest requests."""
    cfg = load(OperatorSettings, args.settings)
    credential = f"Bearer {cfg.operator_secret}".encode()
    try:
        response = await fetch(
            args.entry,
            "GET",
            f"/.wigeonford/explain?id={quote(args.id, safe='')}",
            ((b"authorization", credential),),
            timeout_s=EXPLAIN_TIMEOUT_S,
            context=client_context(cfg.tls),
        )
    except (ConnectFailed, ExchangeFailed) as exc:
        raise PeerError(Code.PEER_UNREACHABLE, str(exc)) from exc
    decision = _decode(response, args.id)
    return Result(decision, tuple(_lines(decision)))


def _decode(response: Response, request_id: str) -> dict[str, Any]:
    assert isinstance(response.body, bytes), "the response body is complete"
    content: dict[str, Any] = msgspec.json.decode(response.body)
    if response.status == _OK:
        return content
    codes = {code.number: code for code in Code}
    code = codes.get(content.get("code", 0), Code.INTERNAL)
    raise ChangeRejected(code, request_id)


def _lines(decision: dict[str, Any]) -> list[str]:
    head = (
        f"{decision['method']} {decision['path']} of "
        f"{decision['account'] or 'an open route'} at {decision['service']}"
    )
    steps = (
        " ".join(
            str(part)
            for part in (
                f"{step['at_ms']:9.3f} ms",
                step["what"],
                step["target"],
                step["side"],
                step["code"] or "",
                step["detail"],
            )
            if part
        )
        for step in decision["steps"]
    )
    return [head, *steps]
