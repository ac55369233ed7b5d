/** Estimate of header fields that the HTTP parser keeps, without a network. */
import { expect, test } from "vitest";
import { createHeadEstimate, estimateFieldBytes } from "../src/gateway";

const FIELDS = "a:\r\n".repeat(256);

function start() {
  const state = { requests: 0, bodyRest: 0, estimate: 0 };
  const follow = createHeadEstimate({
    countRequests: () => state.requests,
    countBodyRest: () => state.bodyRest,
    onChange: (change) => {
      state.estimate += change;
    },
  });
  const parse = (text: string, change: () => void = () => undefined) => {
    const onParsed = follow(Buffer.from(text));
    change();
    onParsed();
  };
  return { state, parse };
}

// Guards against heads and trailers that are kept and not counted until their end arrives.
test("counts the fields of a head that has not ended, up to what the parser keeps", () => {
  const { state, parse } = start();
  parse(FIELDS);
  expect(state.estimate).toBe(estimateFieldBytes(256, 1024));
  for (let count = 0; count < 100; count += 1) {
    parse(FIELDS);
  }
  expect(state.estimate).toBe(estimateFieldBytes(1000, 65_536));
});

test.each([
  ["a request", (state: { requests: number }) => (state.requests += 1)],
  ["a part of a body", (state: { bodyRest: number }) => (state.bodyRest -= 1)],
] as const)("counts nothing of what has become %s", (_name, change) => {
  const { state, parse } = start();
  parse(FIELDS);
  parse(FIELDS, () => change(state));
  expect(state.estimate).toBe(0);
});

test("counts nothing for an ordinary head in two parts", () => {
  const { state, parse } = start();
  parse("GET / HTTP/1.1\r\nhost: a\r\nx-a: 1\r\nx-b: 2\r\n");
  expect(state.estimate).toBe(0);
});
