// Builds the daemon of the users' machines as one file below target/.
import { mkdirSync } from "node:fs";
import { bundle } from "./bundle.mjs";

mkdirSync("target", { recursive: true });
await bundle({ hemlockbank: "platform/main.ts" }, "target");
