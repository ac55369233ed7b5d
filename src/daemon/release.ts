/** Release of this program, from package.json. */
import packageDescription from "../../package.json";

/** Release number of this program. */
export const RELEASE: string = packageDescription.version;
