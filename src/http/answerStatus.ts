/** Statuses of answers. */

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/**
 * Returns whether a status can be that of a final answer. HTTP parsers accept any three digits, such as 000, which says
 * nothing about the request and cannot be passed on.
 *
 * @param status - Status of an answer.
 * @returns Whether HTTP defines it as final.
 */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}
