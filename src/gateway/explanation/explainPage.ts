/** The page `/explain` at the address of a daemon's metrics. */
import { InputError } from "../../errors";
import type { Page } from "../../observability";
import type { RouteExplanation, RouteQuestion } from "./explanationTypes";
import { parseRouteQuestion } from "./routeQuestion";

/** URL path of the page. */
export const EXPLAIN_PATH = "/explain";
const Status = { Ok: 200, BadRequest: 400 } as const;

/**
 * Creates the page.
 *
 * @param explain - Explains a request; throws InputError when the question cannot be answered.
 * @returns The page: an explanation in JSON, or status 400 with `error` when the question is invalid.
 */
export function createExplainPage(explain: (question: RouteQuestion) => RouteExplanation): Page {
  return {
    path: EXPLAIN_PATH,
    read: (query) => {
      try {
        return { status: Status.Ok, content: explain(parseRouteQuestion(query)) };
      } catch (error) {
        if (error instanceof InputError) {
          return { status: Status.BadRequest, content: { error: error.message } };
        }
        throw error;
      }
    },
  };
}
