"""A TCP proxy on loopback that can delay, reset, stall, or drop one direction of its connections."""

import asyncio
import enum
import threading

HOST = "127.0.0.1"
CHUNK_BYTES = 65536


class Mode(enum.Enum):
    """How the proxy treats its connections."""

    PASS = "pass"
    DELAY = "delay"          # Each chunk is delayed by `delay_s`.
    CUT_TO = "cut-to"        # Bytes to the server are discarded.
    CUT_FROM = "cut-from"    # Bytes from the server are discarded.
    SILENT = "silent"        # Bytes are held back in both directions; connections stay open.
    REFUSE = "refuse"        # Open connections are reset, new ones immediately after they are accepted.


class Proxy:
    """Forwards one port to another. Thread safety: set() and reset() may be called from any thread."""

    def __init__(self, loop, listen, target):
        self._loop = loop
        self._listen = listen
        self._target = target
        self._mode = Mode.PASS
        self._delay_s = 0.0
        self._mode_changed = None
        self._server = None
        self._writers = set()
        self._tasks = set()  # The loop alone holds tasks by weak references only.

    async def start(self):
        """Starts to listen."""
        self._mode_changed = asyncio.Event()
        self._server = await asyncio.start_server(self._accept, HOST, self._listen)

    def close(self):
        """Stops listening. Must be called on the event loop of the proxy."""
        self._server.close()

    def set(self, mode, delay_s=0.0):
        """Sets the mode of all open and future connections."""
        self._loop.call_soon_threadsafe(self._apply, mode, delay_s)

    def reset(self):
        """Resets all open connections; new ones are not affected."""
        self._loop.call_soon_threadsafe(self.abort_all)

    def _apply(self, mode, delay_s):
        self._mode = mode
        self._delay_s = delay_s
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()
        if mode is Mode.REFUSE:
            self.abort_all()

    def abort_all(self):
        """Aborts all connections. Must be called on the event loop of the proxy."""
        for writer in list(self._writers):
            writer.transport.abort()

    def _accept(self, reader, writer):
        self._writers.add(writer)  # Not by the task: one that is cancelled before it starts runs nothing.
        task = self._loop.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        writers = {writer}
        try:
            if self._mode is Mode.REFUSE:
                return
            server_reader, server_writer = await asyncio.open_connection(HOST, self._target)
            writers.add(server_writer)
            self._writers.add(server_writer)
            await asyncio.gather(self._copy(reader, server_writer, Mode.CUT_TO),
                                 self._copy(server_reader, writer, Mode.CUT_FROM))
            for each in writers:
                each.close()
        except OSError:
            pass  # The target refuses: the client's connection is aborted below.
        finally:
            self._writers -= writers
            for each in writers:
                if not each.is_closing():
                    each.transport.abort()

    async def _copy(self, reader, writer, discarding_mode):
        """Copies one direction until it ends, then half-closes the other side."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self._mode is Mode.SILENT:
                    await self._mode_changed.wait()
                if self._mode is Mode.DELAY:
                    await asyncio.sleep(self._delay_s)
                if self._mode is discarding_mode:
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()


class Proxies:
    """All proxies of a run, on one event loop in a thread of its own."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._proxies = []
        self._thread.start()

    def add(self, listen, target):
        """Starts a proxy that forwards the port `listen` to the port `target`."""
        proxy = Proxy(self._loop, listen, target)
        asyncio.run_coroutine_threadsafe(proxy.start(), self._loop).result()
        self._proxies.append(proxy)
        return proxy

    async def _close_all(self):
        for proxy in self._proxies:
            proxy.close()
        # A connection that was just accepted gets its task only in the next turn of the loop.
        await asyncio.sleep(0)
        while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for proxy in self._proxies:
            proxy.abort_all()
        await asyncio.sleep(0)  # Aborted connections close their sockets in the next turn.

    def stop(self):
        """Stops all proxies and their thread."""
        asyncio.run_coroutine_threadsafe(self._close_all(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
