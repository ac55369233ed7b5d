/** Lower-case names of hop-by-hop header fields: they apply to one connection only and are not forwarded. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);
