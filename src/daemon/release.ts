/** The release of this program. */
import packageDescription from "../../package.json";

/** Release number. */
export const RELEASE: string = packageDescription.version;
