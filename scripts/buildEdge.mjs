// Bundles the daemon for the users' machines into target/hemlockbank.cjs.
import { mkdirSync } from "node:fs";
import { bundle } from "./bundle.mjs";

mkdirSync("target", { recursive: true });
await bundle({ hemlockbank: "platform/main.ts" }, "target");
