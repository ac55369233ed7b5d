/** Random choices from a uniform source, which tests inject. */

/** Uniform random numbers in [0, 1). */
export type Random = () => number;

/**
 * Chooses one item.
 *
 * @param random - Source of random numbers.
 * @param items - The items.
 * @returns One of them, or undefined when there is none.
 */
export function chooseRandom<Item>(random: Random, items: readonly Item[]): Item | undefined {
  return items[Math.floor(random() * items.length)];
}

/**
 * Orders items at random.
 *
 * @param random - Source of random numbers.
 * @param items - The items.
 * @returns The same items in another order.
 */
export function shuffle<Item>(random: Random, items: readonly Item[]): readonly Item[] {
  return items
    .map((item) => ({ item, order: random() }))
    .sort((left, right) => left.order - right.order)
    .map((entry) => entry.item);
}
