/** TCP proxy whose open connections can be made silent or cut; new connections always work. */
import { connect, createServer } from "node:net";

/**
 * Starts a proxy on a free loopback port in front of a loopback port.
 */
export async function startProxy(targetPort) {
  const pairs = new Set();
  const server = createServer((client) => {
    const upstream = connect(targetPort, "127.0.0.1");
    const pair = { client, upstream };
    pairs.add(pair);
    for (const socket of [client, upstream]) {
      socket.setNoDelay(true);
      socket.on("error", () => undefined);
    }
    client.on("data", (chunk) => upstream.write(chunk));
    upstream.on("data", (chunk) => client.write(chunk));
    client.on("close", () => {
      pairs.delete(pair);
      upstream.destroy();
    });
    upstream.on("close", () => client.destroy());
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    port: server.address().port,
    /** Passes nothing more on over the connections that are open now, in either direction, and keeps them open. */
    silence() {
      for (const { client, upstream } of pairs) {
        client.removeAllListeners("data");
        client.on("data", () => undefined);
        upstream.removeAllListeners("data");
        upstream.on("data", () => undefined);
      }
    },
    /** Closes the connections that are open now. */
    cut() {
      pairs.forEach(({ client }) => client.destroy());
    },
    close() {
      pairs.forEach(({ client }) => client.destroy());
      server.close();
    },
  };
}
