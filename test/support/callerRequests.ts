/** What callers send to the route of a single daemon, in pieces. */

const USUAL_FIELDS = "Host: a.example\r\nRequest-Id: q\r\nRequest-Deadline: 60000\r\n";

/** Heads without their end, and the head of a body in chunks. */
export const GET = `GET /long/ HTTP/1.1\r\n${USUAL_FIELDS}`;
export const POST = `POST /long/ HTTP/1.1\r\n${USUAL_FIELDS}`;
export const CHUNKED_HEAD = `${POST}Transfer-Encoding: chunked\r\n\r\n`;

/** Content of 64 KiB, the same as one chunk, and 10,000 chunks of one byte. */
export const PIECE = Buffer.alloc(65_536, "x");
export const CHUNK = Buffer.concat([Buffer.from("10000\r\n"), PIECE, Buffer.from("\r\n")]);
export const SMALL_CHUNKS = Buffer.from("1\r\nx\r\n".repeat(10_000));

/** Repeats a piece. */
export function* repeat<Value>(value: Value, count: number): Iterable<Value> {
  for (let index = 0; index < count; index += 1) {
    yield value;
  }
}
