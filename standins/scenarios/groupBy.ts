/** Groups items as `Map.groupBy` does, which Node.js 20 does not have. */

/**
 * Groups items by a key.
 *
 * @param items - The items.
 * @param getKey - Returns the key of an item.
 * @returns Items by key; groups and their items are in the order of `items`.
 */
export function groupBy<Item, Key>(items: readonly Item[], getKey: (item: Item) => Key): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const key = getKey(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
}
