/** Prints results as lines, tables or JSON. */
import Table from "cli-table3";

/**
 * Prints a line to standard output.
 *
 * @param line - The line, without its line break.
 */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/**
 * Prints a value as indented JSON.
 *
 * @param value - The value.
 */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value, null, 2));
}

/**
 * Prints a table without borders or colours.
 *
 * @param head - Column titles.
 * @param rows - Rows of cells.
 */
export function printTable(
  head: readonly string[],
  rows: readonly (readonly (string | number | undefined)[])[],
): void {
  printLine(formatTable(head, rows));
}

/**
 * Formats a table without borders or colours.
 *
 * @param head - Column titles.
 * @param rows - Rows of cells.
 * @returns The lines of the table, joined by line breaks.
 */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly (string | number | undefined)[])[],
): string {
  const table = new Table({
    head: [...head],
    style: { head: [], border: [], compact: true, "padding-left": 0, "padding-right": 1 },
    chars: {
      top: "",
      "top-mid": "",
      "top-left": "",
      "top-right": "",
      bottom: "",
      "bottom-mid": "",
      "bottom-left": "",
      "bottom-right": "",
      left: "",
      "left-mid": "",
      mid: "",
      "mid-mid": "",
      right: "",
      "right-mid": "",
      middle: " ",
    },
  });
  table.push(...rows.map((row) => row.map((cell) => cell ?? "")));
  return table.toString();
}
