/** Keys that map to given slots. */
import { computeSlot } from "../../src/ownership";

const keysBySlotCount = new Map<number, readonly string[]>();

/**
 * Returns one key for each slot.
 *
 * @param slotCount - Slot count of the service.
 * @returns Keys, indexed by slot.
 */
export function getKeysBySlot(slotCount: number): readonly string[] {
  const cached = keysBySlotCount.get(slotCount);
  if (cached !== undefined) {
    return cached;
  }
  const keys: string[] = [];
  for (let number = 0; keys.filter((key) => key !== "").length < slotCount; number += 1) {
    const key = `key-${number}`;
    keys[computeSlot(key, slotCount)] ??= key;
  }
  keysBySlotCount.set(slotCount, keys);
  return keys;
}
