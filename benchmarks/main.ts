/** `npm run bench [NAME…]`: runs the named benchmarks, or all of them, and prints their results. */
import { measureCoordinator } from "./coordinator";
import { measureChurn, measurePlacement } from "./placement";
import { measureHops, measureOverload, measureIdle, measureStragglers } from "./processes";

const measurements: Readonly<Record<string, () => Promise<void> | void>> = {
  placement: measurePlacement,
  churn: measureChurn,
  coordinator: measureCoordinator,
  hops: measureHops,
  rest: measureIdle,
  stragglers: measureStragglers,
  overload: measureOverload,
};

void main();

async function main(): Promise<void> {
  const selected = process.argv.slice(2);
  for (const [name, measure] of Object.entries(measurements)) {
    if (selected.length === 0 || selected.includes(name)) {
      process.stdout.write(`\n== ${name}\n`);
      await measure();
    }
  }
}
