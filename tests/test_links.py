"""Links between instances, with a peer that the test plays."""

import asyncio

from lynxreel.links.mesh import VERSION, Hello, Mesh, Place
from lynxreel.links.peers import News, Up
from tests.net import LOCAL, ScriptedServer, run


# Guards against a Hello that is given up after a fixed time, for ever, where a peer takes longer to answer.
def test_a_link_goes_on_waiting_for_its_hello_while_another_is_opened_beside_it() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            other = Place("other", "a", (LOCAL, peer.port))
            mesh = Mesh(Place("own", "a", (LOCAL, 0)), 1, [other], asyncio.get_running_loop())
            heard = asyncio.Queue[News]()

            def take(news: list[News]) -> None:
                for one in news:
                    heard.put_nowait(one)

            mesh.register((), lambda *message: None, take)
            await mesh.open()
            for _ in range(2):
                assert (await peer.receive(end=b""))[1] != b""
            hello = mesh.frame([Hello(VERSION, "other", 5)])
            peer.writers[0].write(hello)
            peer.writers[1].write(hello)
            assert await heard.get() == Up("other", 5)
            assert (await peer.receive()) == (peer.writers[1], b"")  # the second link is closed
            assert heard.empty()
            mesh.close()

    run(scenario)
