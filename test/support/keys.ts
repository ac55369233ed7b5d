/** Keys for given slots. */
import { computeSlot } from "../../src/ownership";

const tables = new Map<number, readonly string[]>();

/**
 * Gives a key for each slot.
 *
 * @param slotCount - Number of slots.
 * @returns Keys by slot.
 */
export function keyTable(slotCount: number): readonly string[] {
  const known = tables.get(slotCount);
  if (known !== undefined) {
    return known;
  }
  const keys: string[] = [];
  for (let number = 0; keys.filter((key) => key !== "").length < slotCount; number += 1) {
    const key = `key-${number}`;
    keys[computeSlot(key, slotCount)] ??= key;
  }
  tables.set(slotCount, keys);
  return keys;
}
