"""A TCP proxy on loopback whose open connections can go silent while new ones work."""

import asyncio


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, host, port, target):
        self._host, self._port, self._target = host, port, target
        self._open = set()  # Events that are set while a connection forwards.

    async def start(self):
        await asyncio.start_server(self._serve, self._host, self._port)

    def silence(self):
        """Stops forwarding on all open connections for good, without closing them. Returns their number."""
        count = len(self._open)
        for forwards in self._open:
            forwards.clear()
        self._open.clear()
        return count

    async def _serve(self, reader, writer):
        forwards = asyncio.Event()
        forwards.set()
        self._open.add(forwards)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._copy(reader, far_writer, forwards), self._copy(far_reader, writer, forwards))
        self._open.discard(forwards)

    @staticmethod
    async def _copy(reader, writer, forwards):
        try:
            while True:
                data = await reader.read(65536)
                await forwards.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            if forwards.is_set():
                writer.close()
