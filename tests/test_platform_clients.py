"""Test that one malformed entry or response of the product's own platform costs only itself."""

import unittest

import httpx
import orjson

from acaciarill.errors import AcaciarillError, StoreError
from acaciarill.host_list import HostListClient
from acaciarill.object_store import ObjectStore
from acaciarill.weight_store import WeightStoreClient

URL = "http://127.0.0.1:1"
MALFORMED = (b"", b"[]", b"7", b"{}", b'{"objects":[7],"position":1}', b"[" * 5000)


def client(body: bytes, **headers: str) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        transport=httpx.MockTransport(
            lambda request: httpx.Response(200, headers=headers, content=body)
        )
    )


class PlatformClientsTest(unittest.IsolatedAsyncioTestCase):
    """Call each client with malformed responses."""

    # review/3 on a related path: one host with an unknown field spoilt the whole list.
    async def test_malformed_host_is_left_out_of_the_list(self) -> None:
        valid = {"name": "h1", "role": "entry", "data_centre": "a", "address": "10.0.0.1:80"}
        odd = [7, {}, valid | {"address": "\ufffd:80"}, valid | {"name": 7}, valid | {"x": "y"}]
        body = orjson.dumps({"hosts": [*odd, valid]})
        hosts = await HostListClient(URL, client(body)).fetch()
        self.assertEqual([host.name for host in hosts or []], ["h1"])

    async def test_malformed_response_is_a_typed_error(self) -> None:
        for body in MALFORMED:
            with self.subTest(body[:20]):
                with self.assertRaises(AcaciarillError):
                    await HostListClient(URL, client(body)).fetch()
                with self.assertRaises(AcaciarillError):
                    await WeightStoreClient(URL, client(body)).newest_version("m")
                store = ObjectStore(URL, client(body, etag="x1"))
                for call in (store.list("p"), store.watch("p", 1), store.get("k")):
                    with self.assertRaises(StoreError):
                        await call
